//! `flamingoctl timeline`: merges the events of all instances and prints or renders them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::Duration, //
};

use awc::http::Method;
use flamingoscale::{
    timeline::{
        merge,
        Event, //
    },
    wire::Status, //
};

use crate::{
    cli::TimelineQuery,
    client::{
        member_addresses,
        Client, //
    },
    error::{
        CommandError,
        Result, //
    },
    html,
    output, //
};

/// Interval at which `--follow` reads new events.
const FOLLOW_POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn run(client: &Client, query: TimelineQuery, json: bool) -> Result<()> {
    let mut reader = EventReader::default();
    let events = reader.read(client, &query).await?;
    if let Some(file) = &query.html {
        return write_page(file, &events);
    }
    print_events(&events, json);
    if !query.follow {
        return Ok(());
    }
    loop {
        actix_rt::time::sleep(FOLLOW_POLL_INTERVAL).await;
        let events = reader.read(client, &query).await?;
        print_events(&events, json);
    }
}

/// Reads the events of all instances and keeps the serial number of the last event read from
/// each, so that the next read returns only newer events.
#[derive(Default)]
struct EventReader {
    last_serials: HashMap<SocketAddr, u64>,
}

impl EventReader {
    async fn read(&mut self, client: &Client, query: &TimelineQuery) -> Result<Vec<Event>> {
        let status: Status = client.get("/admin/status").await?;
        let mut per_instance = Vec::new();
        for address in member_addresses(&status) {
            let last_serial = self.last_serials.entry(address).or_default();
            let path = format!("/admin/timeline?after={last_serial}");
            // Skip unreachable instances, so that the events of the others are still shown.
            let Ok(response) = client.send_to(address, Method::GET, &path, &()).await else {
                continue;
            };
            let events: Vec<Event> = response.json()?;
            *last_serial = events.last().map_or(*last_serial, |event| event.serial);
            per_instance.push(events);
        }
        let mut events = merge(per_instance);
        events.retain(|event| matches_query(event, query));
        Ok(events)
    }
}

fn matches_query(event: &Event, query: &TimelineQuery) -> bool {
    let trace_matches = query
        .trace
        .as_deref()
        .is_none_or(|trace| &*event.trace == trace);
    trace_matches && event.kind.starts_with(&query.kind)
}

fn print_events(events: &[Event], json: bool) {
    for event in events {
        if json {
            output::line(format_args!("{}", serde_json::json!(event)));
        } else {
            output::line(format_args!("{}", format_event(event)));
        }
    }
}

/// Formats an event as one line: time of day in UTC, process, kind, trace and fields.
fn format_event(event: &Event) -> String {
    let seconds = event.stamp.wall_ms / 1_000 % 86_400;
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    let time = format!(
        "{hours:02}:{minutes:02}:{:02}.{:03}",
        seconds % 60,
        event.stamp.wall_ms % 1_000
    );
    let fields = format_fields(&event.fields);
    let (process, kind, trace) = (&event.process, &event.kind, &event.trace);
    format!("{time} {process:<10}{kind:<26}{trace:<24}{fields}")
}

pub(crate) fn format_fields(fields: &[(Arc<str>, String)]) -> String {
    let pairs: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    pairs.join(" ")
}

fn write_page(file: &Path, events: &[Event]) -> Result<()> {
    std::fs::write(file, html::render(events)).map_err(|error| {
        CommandError::input(format!(
            "cannot write {} ({error}): choose another path",
            file.display()
        ))
    })?;
    eprintln!("wrote {} events to {}", events.len(), file.display());
    Ok(())
}

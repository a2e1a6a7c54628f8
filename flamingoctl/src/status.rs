//! `flamingoctl status`: shows instances, endpoints, leases and weight versions.

use flamingoscale::wire::Status;

use crate::{
    client::Client,
    error::Result,
    output, //
};

pub(crate) async fn run(client: &Client, json: bool) -> Result<()> {
    let statuses = client.statuses().await?;
    if json {
        output::line(format_args!("{}", serde_json::json!(statuses)));
        return Ok(());
    }
    print_instances(&statuses);
    print_endpoints(&statuses);
    if let Some(first) = statuses.first() {
        print_leases(first);
    }
    Ok(())
}

/// Prints the members that the first status lists, each with its own revision and freshness if it
/// answered.
fn print_instances(statuses: &[Status]) {
    output::line(format_args!("instances"));
    let Some(first) = statuses.first() else {
        return;
    };
    for member in &first.members {
        let reported = statuses
            .iter()
            .find(|status| status.instance == member.instance);
        let freshness = match reported {
            Some(status) if status.fresh => "fresh",
            Some(_) => "NOT FRESH: refuses keyed requests",
            None => "gave no answer",
        };
        let revision = reported.map_or(member.revision, |status| status.revision);
        output::line(format_args!(
            "  {:<12}{:<12}{:<24}{:<10}revision {revision:<8}{freshness}",
            member.instance, member.failure_domain, member.address, member.health
        ));
    }
}

fn print_endpoints(statuses: &[Status]) {
    output::line(format_args!("endpoints"));
    for endpoint in statuses.iter().flat_map(|status| &status.endpoints) {
        let version = match endpoint.version {
            Some(version) => format!("version {version}"),
            None => "version unknown".to_owned(),
        };
        output::line(format_args!(
            "  {:<26} {:<14} home {:<12}{version:<18}{} in flight",
            endpoint.endpoint,
            endpoint.service,
            endpoint.home,
            endpoint.in_flight.unwrap_or(0)
        ));
    }
}

/// Prints the holder of each lease and the newest weight version of each trainer.
fn print_leases(status: &Status) {
    output::line(format_args!("leases"));
    for (lease, holder) in &status.leases {
        output::line(format_args!("  {lease:<24}{holder}"));
    }
    output::line(format_args!("newest weights"));
    for (trainer, version) in &status.versions {
        output::line(format_args!("  {trainer:<24}{version}"));
    }
}

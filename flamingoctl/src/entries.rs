//! `flamingoctl entries`: lists the addresses of the entry instances, as callers receive them.

use flamingoscale::wire::Entries;

use crate::{
    client::Client,
    error::Result,
    output, //
};

pub(crate) async fn run(client: &Client, near: Option<String>, json: bool) -> Result<()> {
    let path = match near {
        Some(near) => format!("/v1/entries?near={near}"),
        None => "/v1/entries".to_owned(),
    };
    let entries: Entries = client.get(&path).await?;
    if json {
        output::line(format_args!("{}", serde_json::json!(entries)));
        return Ok(());
    }
    for entry in &entries.entries {
        let (address, instance) = (&entry.address, &entry.instance);
        output::line(format_args!(
            "{address:<24}{instance:<16}{}",
            entry.failure_domain
        ));
    }
    output::line(format_args!("to be kept for {} ms", entries.ttl_ms));
    Ok(())
}

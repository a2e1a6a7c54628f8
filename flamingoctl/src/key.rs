//! `flamingoctl key`: grants, withdraws and lists API keys.

use awc::http::Method;
use flamingoscale::wire::{
    GrantKey,
    GrantedKey,
    ListedKey,
    WithdrawnKey, //
};

use crate::{
    cli::KeyCommand,
    client::Client,
    error::Result,
    output, //
};

pub(crate) async fn run(client: &Client, command: KeyCommand, json: bool) -> Result<()> {
    match command {
        KeyCommand::Grant { organisation } => grant(client, &organisation, json).await,
        KeyCommand::Withdraw { key_id } => withdraw(client, &key_id, json).await,
        KeyCommand::List => list(client, json).await,
    }
}

async fn grant(client: &Client, organisation: &str, json: bool) -> Result<()> {
    let body = GrantKey {
        organisation: organisation.into(),
    };
    let response = client.send(Method::POST, "/admin/keys", &body).await?;
    let granted: GrantedKey = response.json()?;
    if json {
        output::line(format_args!("{}", serde_json::json!(granted)));
        return Ok(());
    }
    output::line(format_args!("key id  {}", granted.key_id));
    output::line(format_args!("key     {}", granted.key));
    eprintln!("The key is shown only once: hand it to {organisation} now.");
    Ok(())
}

async fn withdraw(client: &Client, key_id: &str, json: bool) -> Result<()> {
    let path = format!("/admin/keys/{key_id}");
    let response = client.send(Method::DELETE, &path, &()).await?;
    let withdrawn: WithdrawnKey = response.json()?;
    if json {
        output::line(format_args!("{}", serde_json::json!(withdrawn)));
    } else if withdrawn.durable {
        output::line(format_args!("{key_id} is withdrawn"));
    } else {
        output::line(format_args!(
            "{key_id} is withdrawn on all reachable instances"
        ));
        output::line(format_args!(
            "The log is away; the withdrawal is appended when it is back."
        ));
    }
    Ok(())
}

async fn list(client: &Client, json: bool) -> Result<()> {
    let keys: Vec<ListedKey> = client.get("/admin/keys").await?;
    if json {
        output::line(format_args!("{}", serde_json::json!(keys)));
        return Ok(());
    }
    for key in keys {
        let state = if key.withdrawn {
            "withdrawn"
        } else {
            "in force"
        };
        output::line(format_args!(
            "{:<16}{:<24}{state}",
            key.key_id, key.organisation
        ));
    }
    Ok(())
}

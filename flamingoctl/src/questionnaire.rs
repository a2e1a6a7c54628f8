//! `flamingoctl questionnaire`: creates, checks, compares and submits questionnaires.

use std::{
    path::Path,
    time::{
        Duration,
        Instant, //
    }, //
};

use awc::http::{
    Method,
    StatusCode, //
};
use flamingoscale::{
    configuration::Configuration,
    questionnaire,
    wire::{
        ListedRevision,
        QuestionnaireState,
        SubmitQuestionnaire, //
    }, //
};

use crate::{
    cli::QuestionnaireCommand,
    client::Client,
    dialogue,
    error::{
        CommandError,
        Result, //
    },
    output, //
};

/// Maximum time that `submit` waits until the revision is in force on all instances.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two status requests while waiting for a submission to be in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(250);

pub(crate) async fn run(client: &Client, command: QuestionnaireCommand, json: bool) -> Result<()> {
    match command {
        QuestionnaireCommand::New { template, file } => create(template, &file),
        QuestionnaireCommand::Check { file } => check(&file, json),
        QuestionnaireCommand::Generate { file } => generate(&file),
        QuestionnaireCommand::Diff { file } => diff(client, &file, json).await,
        QuestionnaireCommand::Submit { base, file } => submit(client, base, &file, json).await,
        QuestionnaireCommand::Show { revision } => show(client, revision, json).await,
        QuestionnaireCommand::History => history(client, json).await,
    }
}

/// Writes the template or the prompted answers to a new file.
fn create(template: bool, file: &Path) -> Result<()> {
    if file.exists() {
        let message = format!("{} already exists: choose another file", file.display());
        return Err(CommandError::input(message));
    }
    let text = if template {
        questionnaire::template().to_owned()
    } else {
        let input = std::io::stdin().lock();
        let answers = dialogue::prompt_all(input, std::io::stderr());
        answers.map_err(|error| {
            CommandError::input(format!(
                "input ended before all questions were answered ({error}): start again"
            ))
        })?
    };
    std::fs::write(file, &text).map_err(|error| {
        let file = file.display();
        CommandError::input(format!(
            "cannot write {file} ({error}): check its directory"
        ))
    })?;
    eprintln!(
        "wrote {}; next step: flamingoctl questionnaire check",
        file.display()
    );
    Ok(())
}

fn check(file: &Path, json: bool) -> Result<()> {
    let (_, configuration) = read_questionnaire(file)?;
    if json {
        output::line(format_args!("{}", serde_json::json!({"whole": true})));
        return Ok(());
    }
    output::line(format_args!(
        "{} is whole: {} services, {} organisations, {} failure domains, {} trainers",
        file.display(),
        configuration.services.len(),
        configuration.organisations.len(),
        configuration.failure_domains.len(),
        configuration.trainers.len()
    ));
    Ok(())
}

fn generate(file: &Path) -> Result<()> {
    let (_, configuration) = read_questionnaire(file)?;
    // Serialising cannot fail, because the configuration has no map keys written by users.
    let text = serde_json::to_string_pretty(&configuration).unwrap_or_default();
    output::line(format_args!("{text}"));
    Ok(())
}

async fn diff(client: &Client, file: &Path, json: bool) -> Result<()> {
    let (text, _) = read_questionnaire(file)?;
    let state: QuestionnaireState = client.get("/admin/questionnaire").await?;
    let difference = questionnaire::difference(&state.text, &text);
    if json {
        let revision = state.revision;
        output::line(format_args!(
            "{}",
            serde_json::json!({"revision": revision, "difference": difference})
        ));
    } else if difference.is_empty() {
        output::line(format_args!(
            "nothing differs from revision {}",
            state.revision
        ));
    } else {
        print_difference(&difference);
    }
    Ok(())
}

async fn show(client: &Client, revision: Option<u64>, json: bool) -> Result<()> {
    let state = match revision {
        None => client.get("/admin/questionnaire").await?,
        Some(revision) => fetch_revision(client, revision).await?,
    };
    if json {
        output::line(serde_json::json!(state));
        return Ok(());
    }
    eprintln!("revision {}", state.revision);
    output::line(state.text.trim_end());
    Ok(())
}

/// Fetches one revision from the history. A revision that the history no longer lists is an
/// input error.
async fn fetch_revision(client: &Client, revision: u64) -> Result<QuestionnaireState> {
    let mut revisions = fetch_revisions(client).await?.into_iter();
    let matching = revisions.find(|listed| listed.revision == revision);
    let listed = matching.ok_or_else(|| {
        CommandError::input(format!(
            "revision {revision} is not in the history: see `history`"
        ))
    })?;
    Ok(QuestionnaireState {
        revision: listed.revision,
        text: listed.text,
        difference: Vec::new(),
    })
}

async fn fetch_revisions(client: &Client) -> Result<Vec<ListedRevision>> {
    client.get("/admin/questionnaire/history").await
}

async fn history(client: &Client, json: bool) -> Result<()> {
    let revisions = fetch_revisions(client).await?;
    if json {
        output::line(serde_json::json!(revisions));
        return Ok(());
    }
    let mut previous: Option<&ListedRevision> = None;
    for listed in &revisions {
        let (revision, writer) = (listed.revision, &listed.writer);
        output::line(format_args!("revision {revision}, submitted at {writer}"));
        if let Some(previous) = previous {
            print_difference(&questionnaire::difference(&previous.text, &listed.text));
        }
        previous = Some(listed);
    }
    Ok(())
}

async fn submit(client: &Client, base: Option<u64>, file: &Path, json: bool) -> Result<()> {
    let (text, _) = read_questionnaire(file)?;
    let base_revision = match base {
        Some(base) => base,
        None => {
            let state: QuestionnaireState = client.get("/admin/questionnaire").await?;
            state.revision
        }
    };
    let body = SubmitQuestionnaire {
        base_revision,
        text: text.into(),
    };
    let path = "/admin/questionnaire";
    let response = client.send(Method::POST, path, &body).await?;
    if response.status == StatusCode::CONFLICT {
        let current: QuestionnaireState = response.body_json()?;
        print_difference(&current.difference);
        return Err(CommandError::Conflict {
            revision: current.revision,
        });
    }
    let accepted: QuestionnaireState = response.json()?;
    wait_until_in_force(client, accepted.revision).await?;
    if json {
        output::line(format_args!(
            "{}",
            serde_json::json!({"revision": accepted.revision})
        ));
    } else {
        output::line(format_args!(
            "revision {} is in force everywhere",
            accepted.revision
        ));
    }
    Ok(())
}

/// Polls until every listed instance reports this or a newer revision in force, or fails after
/// [`IN_FORCE_TIMEOUT`].
async fn wait_until_in_force(client: &Client, revision: u64) -> Result<()> {
    let start = Instant::now();
    loop {
        let statuses = client.statuses().await?;
        let all = statuses
            .first()
            .map_or(0, |status| status.members.len())
            .max(statuses.len());
        let reached = statuses
            .iter()
            .filter(|status| status.revision >= revision)
            .count();
        eprintln!("in force on {reached} of {all} instances");
        if reached == all {
            return Ok(());
        }
        if start.elapsed() > IN_FORCE_TIMEOUT {
            return Err(CommandError::NotInForce { reached, all });
        }
        actix_rt::time::sleep(IN_FORCE_POLL_INTERVAL).await;
    }
}

fn read_questionnaire(file: &Path) -> Result<(String, Configuration)> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        let file = file.display();
        CommandError::input(format!("cannot read {file} ({error}): check its path"))
    })?;
    match questionnaire::generate(&text) {
        Ok(configuration) => Ok((text, configuration)),
        Err(error) => Err(CommandError::input(format!("{}:\n{error}", file.display()))),
    }
}

fn print_difference(lines: &[String]) {
    for line in lines {
        output::line(format_args!("{line}"));
    }
}

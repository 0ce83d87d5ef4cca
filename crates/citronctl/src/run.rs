//! Carries out a parsed command.

use std::env;
use std::fs;
use std::io::{self, Write};
use std::process::ExitCode;

use tokio::runtime;

use citronway::operators::answers::Accepted;

use crate::cli::{ChangeCommand, Command, Condition, Target, completion};
use crate::client::Client;
use crate::failure::Failure;
use crate::replay::Replay;
use crate::words::Thing;
use crate::{commands, edits, explain, queries, replay};

/// Environment variable that holds the token itself.
const TOKEN: &str = "CITRONWAY_TOKEN";

/// Carries out a command and writes its output.
///
/// # Errors
///
/// With what went wrong; [`Failure::code`] is the exit code.
pub fn run(command: Command) -> Result<ExitCode, Failure> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let text = runtime.block_on(carry_out(command))?;
    io::stdout().write_all(text.as_bytes())?;
    Ok(ExitCode::SUCCESS)
}

async fn carry_out(command: Command) -> Result<String, Failure> {
    match command {
        Command::Get {
            stored,
            target,
            what,
        } => queries::get(&client(&target)?, what, stored, target.output).await,
        Command::Status { target } => queries::status(&client(&target)?, target.output).await,
        Command::Replay {
            expected,
            machine,
            file,
        } => replay::run(&Replay {
            trace: &file,
            expected: expected.as_deref(),
            machine,
        }),
        Command::Explain { request, files } => explain::run(&request, &files),
        Command::Completion { shell } => Ok(completion(shell)),
        Command::Change(change) => {
            let condition = change.condition().clone();
            let client = client(&condition.target)?;
            let accepted = make(&client, change, &condition).await?;
            commands::finish(&client, accepted, &condition).await
        }
    }
}

async fn make(
    client: &Client,
    change: ChangeCommand,
    condition: &Condition,
) -> Result<Accepted, Failure> {
    let changes = match change {
        ChangeCommand::Apply { file, .. } => {
            return commands::apply(client, &file, condition).await;
        }
        ChangeCommand::Drain { endpoint, .. } => {
            return commands::set_drain(client, &endpoint, true, condition).await;
        }
        ChangeCommand::Undrain { endpoint, .. } => {
            return commands::set_drain(client, &endpoint, false, condition).await;
        }
        ChangeCommand::Remove {
            with_groups: true,
            kind: Thing::Service,
            name,
            ..
        } => return commands::remove_whole_service(client, &name, condition).await,
        ChangeCommand::Remove {
            with_groups: true, ..
        } => {
            return Err(Failure::Usage(
                "--with-groups goes with `service` only".to_owned(),
            ));
        }
        ChangeCommand::Remove {
            force, kind, name, ..
        } => {
            if kind == Thing::Endpoint && !force {
                commands::check_owns_nothing(client, &name).await?;
            }
            vec![edits::remove(kind, &name)]
        }
        ChangeCommand::Label {
            kind, name, labels, ..
        } => edits::label(kind, &name, &labels),
        ChangeCommand::Select {
            selectors,
            kind,
            name,
            ..
        } => edits::select(kind, &name, &selectors)?,
        ChangeCommand::Create { what } => edits::create(&what),
    };
    commands::change(client, &changes, condition).await
}

fn client(target: &Target) -> Result<Client, Failure> {
    Ok(Client::new(target.server, token(target)?))
}

fn token(target: &Target) -> Result<String, Failure> {
    if let Some(path) = &target.token_file {
        return match fs::read_to_string(path) {
            Ok(text) => Ok(text.trim().to_owned()),
            Err(source) => Err(Failure::File {
                path: path.clone(),
                source,
            }),
        };
    }
    match env::var(TOKEN) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(_) => Err(Failure::Usage(format!(
            "no token: say --token-file FILE, or set CITRONWAY_TOKEN_FILE or {TOKEN}"
        ))),
    }
}

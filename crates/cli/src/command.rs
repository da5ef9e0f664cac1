//! Runs a parsed command line.

use std::io::{self, Write};
use std::process::ExitCode;

use clap::CommandFactory;
use error_stack::Report;

use crate::args::{Action, Command};
use crate::client::AdminClient;
use crate::edit::to_json;
use crate::failure::Failure;
use crate::output::Output;
use crate::{burn, drain, entities, keys, order};

/// Runs the command and returns its exit code. The result is printed to standard output, a
/// failure to standard error.
pub fn run(command: &Command) -> ExitCode {
    if let Action::Completions { shell } = command.action {
        let mut described = Command::command();
        clap_complete::generate(shell, &mut described, "tarragonctl", &mut io::stdout());
        return ExitCode::SUCCESS;
    }
    match actix_rt::System::new().block_on(execute(command)) {
        Ok(output) => print_output(command, &output),
        Err(report) => {
            let failure = report.current_context();
            if command.json {
                let code = failure.code();
                let value = serde_json::json!({ "error": failure.to_string(), "code": code });
                print(&to_json(&value));
            }
            eprintln!("{failure}");
            log::debug!("{report:?}");
            ExitCode::from(failure)
        }
    }
}

async fn execute(command: &Command) -> Result<Output, Report<Failure>> {
    let connection = &command.connection;
    match &command.action {
        Action::Catalogue(action) => entities::run(action, connection).await,
        Action::Status => Ok(Output::from_value(
            AdminClient::new(connection).get("status").await?,
        )),
        Action::Drain(action) => drain::run(action, connection).await,
        Action::Report(action) => burn::run(action, connection).await,
        Action::Order(action) => order::run(action, connection).await,
        Action::Keys(action) => keys::run(action),
        // Handled before the runtime is started, since it needs no connection.
        Action::Completions { .. } => Ok(Output::new(serde_json::Value::Null, String::new())),
    }
}

fn print_output(command: &Command, output: &Output) -> ExitCode {
    if command.json {
        print(&to_json(&output.value));
    } else {
        print(&output.text);
    }
    ExitCode::SUCCESS
}

/// Prints to standard output. Errors are ignored, since the reader may have closed the pipe, as
/// `head` does.
fn print(text: &str) {
    io::stdout().write_all(text.as_bytes()).ok();
}

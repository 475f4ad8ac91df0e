//! Operators' command-line tool of agatecourse; docs/agatecoursectl.md describes its commands and exit statuses.

mod flags;

use agatecoursectl::{CommandError, ConfigTable, Output, keys, node, show_diff};
use flags::{Agatecoursectl, AgatecoursectlCmd, ConfigCmd, KeysCmd};
use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = Agatecoursectl::from_env_or_exit();
    let json = flags.json;
    match actix_rt::System::new().block_on(run_command(flags.subcommand)) {
        Ok(output) => {
            println!("{}", output.render(json));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}", error.render(json));
            ExitCode::from(error.exit_status())
        }
    }
}

async fn run_command(command: AgatecoursectlCmd) -> Result<Output, CommandError> {
    match command {
        AgatecoursectlCmd::Keys(command) => run_keys(command.subcommand),
        AgatecoursectlCmd::Config(command) => run_config(command.subcommand).await,
        AgatecoursectlCmd::Status(flags) => {
            node::OperatorClient::new(flags.node, &flags.token_file)?.status().await
        }
        AgatecoursectlCmd::Dump(flags) => {
            node::OperatorClient::new(flags.node, &flags.token_file)?.dump().await
        }
        AgatecoursectlCmd::Explain(flags) => {
            let operator = node::OperatorClient::new(flags.node, &flags.token_file)?;
            operator.explain(&flags.request).await
        }
        AgatecoursectlCmd::Drain(flags) => {
            let operator = node::OperatorClient::new(flags.node, &flags.token_file)?;
            operator.drain(&flags.target, flags.undo).await
        }
        AgatecoursectlCmd::Trace(flags) => agatecoursectl::trace(&flags.request, &flags.file),
        AgatecoursectlCmd::Release(flags) => {
            let operator = node::OperatorClient::new(flags.node, &flags.token_file)?;
            operator.release(&flags.fingerprint).await
        }
    }
}

fn run_keys(command: KeysCmd) -> Result<Output, CommandError> {
    match command {
        KeysCmd::Make(flags) => keys::make(
            &flags.directory,
            &flags.deployment,
            flags.days.unwrap_or(keys::DEPLOYMENT_KEY_DAYS),
        ),
        KeysCmd::Issue(flags) => {
            let days = flags.days.unwrap_or(keys::NODE_CERTIFICATE_DAYS);
            keys::issue(&flags.directory, &flags.name, flags.key, days)
        }
        KeysCmd::Rotate(flags) => {
            let days = flags.days.unwrap_or(keys::DEPLOYMENT_KEY_DAYS);
            keys::rotate(&flags.directory, &flags.deployment, days)
        }
        KeysCmd::List(flags) => keys::show(&flags.directory),
    }
}

async fn run_config(command: ConfigCmd) -> Result<Output, CommandError> {
    match command {
        ConfigCmd::Check(flags) => agatecoursectl::check(&flags.file, flags.against.as_deref()),
        ConfigCmd::Put(flags) => {
            let text = agatecoursectl::read_valid(&flags.file)?;
            ConfigTable::new(flags.table).put(&text, flags.base).await
        }
        ConfigCmd::Show(flags) => ConfigTable::new(flags.table).show(flags.version).await,
        ConfigCmd::Diff(flags) => {
            let table = ConfigTable::new(flags.table);
            let from = table.read_text(&flags.from).await?;
            Ok(show_diff(&from, &table.read_text(&flags.to).await?))
        }
        ConfigCmd::History(flags) => ConfigTable::new(flags.table).history().await,
    }
}

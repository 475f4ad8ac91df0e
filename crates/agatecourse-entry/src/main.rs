//! Command line program that runs an entry node until it receives SIGTERM or SIGINT.

mod flags;

use agatecourse_config::NodeSettings;
use agatecourse_entry::Node;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let flags = flags::AgatecourseEntry::from_env_or_exit();
    let file = flags.settings.display().to_string();
    let settings = std::fs::read_to_string(&flags.settings)
        .map_err(|error| format!("{file}: {error}"))
        .and_then(|text| NodeSettings::parse(&file, &text).map_err(|faults| faults.to_string()));
    let result = match settings {
        Ok(_) if flags.check => {
            println!("{file}: settings are valid");
            Ok(())
        }
        Ok(settings) => run(settings),
        Err(faults) => Err(faults),
    };
    result.map_or_else(
        |message| {
            eprintln!("{message}");
            ExitCode::FAILURE
        },
        |()| ExitCode::SUCCESS,
    )
}

fn run(settings: NodeSettings) -> Result<(), String> {
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
        let node = Node::start(settings).map_err(|error| error.to_string())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        node.shut_down().await;
        Ok(())
    })
}

//! Command-line program that runs the demo and prints the result of each request.

mod flags;

use agatecourse_demo::{DemoError, Deployment, DeploymentSettings, Report, run_requests};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let flags = flags::AgatecourseDemo::from_env_or_exit();
    let result = actix_rt::System::new().block_on(run(&flags));
    match result {
        Ok(report) if report.is_successful() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: &flags::AgatecourseDemo) -> Result<Report, DemoError> {
    println!("starting stand-ins and nodes");
    let deployment = Deployment::start(DeploymentSettings::new(3, 3, 2)).await?;
    println!("ready: {}", deployment.summary());
    let outcomes = run_requests(&deployment).await;
    for outcome in &outcomes {
        println!("{outcome}");
    }
    if flags.hold {
        wait_for_shutdown_signal(&deployment).await;
    }
    let stopped = deployment.stop().await;
    println!("stopped all processes that were started");
    let report = Report::new(&outcomes);
    print_report(&report, flags.json);
    stopped.map(|()| report)
}

fn print_report(report: &Report, as_json: bool) {
    let Report { sent, answered, refused_not_run, unknown, run_twice, wrong_answer } = report;
    println!(
        "sent {sent}, answered {answered}, refused and not run {refused_not_run}, unknown {unknown}, \
         run twice {run_twice}, wrong answers {wrong_answer}"
    );
    if as_json {
        println!("{}", serde_json::to_string(report).expect("a struct of numbers can be written"));
    }
}

/// Prints a `curl` command line for the first node and waits for SIGINT or SIGTERM.
async fn wait_for_shutdown_signal(deployment: &Deployment) {
    let Some((_, address)) = deployment.nodes().into_iter().next() else { return };
    let body =
        r#"{"model":"quotes","stream":true,"messages":[{"role":"user","content":"12 panes"}]}"#;
    println!("running until SIGINT or SIGTERM; try:");
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {}' \
         -H 'Content-Type: application/json' -d '{body}'",
        deployment.api_key()
    );
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        eprintln!("signals can't be received; stopping");
        return;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

//! Stand-ins of the review's scripts: `standin CASE` plays a case, and starts itself as `standin server ...` for each replica.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod case_crashing;
mod case_head;
mod case_leaving;
mod case_rollout;
mod case_split;
mod case_tenants;
mod client;
mod fleet;
mod http;
mod json;
mod network;
mod quota;
mod server;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let held = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["server", ..] => {
            server::run(&args[1..]);
            return ExitCode::SUCCESS;
        }
        ["guard", ..] => {
            fleet::guard(&args[1..]);
            return ExitCode::SUCCESS;
        }
        ["crashing", record] => case_crashing::play(record, has_trouble),
        ["leaving", record] => case_leaving::play(record, has_trouble),
        ["rollout-streams", record] => case_rollout::play_streams(record, has_trouble),
        ["rollout-route", record] => case_rollout::play_route(record, has_trouble),
        ["tenants", record] => case_tenants::play(record, has_trouble),
        ["head", record] => case_head::play(record, has_trouble),
        ["split", record] => case_split::play(record, has_trouble),
        _ => Err("unknown case".to_string()),
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

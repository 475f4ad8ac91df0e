//! Command-line program that runs a benchmark, or checks a recorded history, and prints the result.

use agatecourse_bench::process::{FleetStats, PlacementPolicy};
use agatecourse_bench::report::write_report;
use agatecourse_bench::{check, control, faults, goodput, overhead, prefill};
use agatecourse_history::CheckLimits;
use serde::Serialize;
use snafu::{ResultExt, Whatever, ensure_whatever};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::path::PathBuf;
use std::time::Duration;

mod flags {
    use agatecourse_bench::request::DeploymentProfile;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs an experiment and prints its result.
        ///
        /// Example: agatecourse-bench goodput --seed 1 --deployment association --report goodput.html
        cmd agatecourse-bench {
            /// Resources that idle nodes use, with 3, 9, 18 and 36 real processes.
            cmd control {
                /// Seed, printed with the result.
                required --seed seed: u64
                /// Prints one JSON object as the last line instead of a table.
                optional --json
            }
            /// Nine real nodes under pairs of faults, judged by the nine invariants.
            cmd faults {
                /// Seed of load and faults.
                required --seed seed: u64
                /// Prints one JSON object as the last line instead of a table.
                optional --json
            }
            /// Work that ends on time under bursts and a slow engine.
            cmd goodput {
                /// Seed of the load; the same seed gives the same result.
                required --seed seed: u64
                /// Prints one JSON object as the last line instead of a table.
                optional --json
                /// Deployment whose load is used: kaewkla (default) or association.
                optional --deployment deployment: DeploymentProfile
                /// Writes an HTML file with plots.
                optional --report report: PathBuf
            }
            /// Latency, rate and memory of one real node process against direct calls.
            cmd overhead {
                /// Seed, printed with the result.
                required --seed seed: u64
                /// Prints one JSON object as the last line instead of a table.
                optional --json
            }
            /// Prompt tokens that are read for nothing or read again.
            cmd prefill {
                /// Seed of the load; the same seed gives the same result.
                required --seed seed: u64
                /// Prints one JSON object as the last line instead of a table.
                optional --json
                /// Deployment whose load is used: kaewkla (default) or association.
                optional --deployment deployment: DeploymentProfile
                /// Writes an HTML file with plots.
                optional --report report: PathBuf
            }
            /// Checks a recorded history against the invariants; the exit status is 1 when one is broken.
            cmd check {
                /// History file with JSON lines, see docs/history-format.md.
                required history: PathBuf
                /// Prints one JSON object as the last line instead of a table.
                optional --json
                /// Time until a configuration must be in force everywhere, in seconds; 5 unless set.
                optional --config-in-force-s config_in_force_s: u64
            }
        }
    }
}

#[snafu::report]
fn main() -> Result<(), Whatever> {
    match flags::AgatecourseBench::from_env_or_exit().subcommand {
        flags::AgatecourseBenchCmd::Control(flags) => {
            let result = actix_rt::System::new().block_on(control::control(flags.seed))?;
            print_result("control", &result, flags.json, None, &BTreeMap::new())
        }
        flags::AgatecourseBenchCmd::Faults(flags) => {
            let result = actix_rt::System::new().block_on(faults::faults(flags.seed))?;
            print_result("faults", &result, flags.json, None, &BTreeMap::new())
        }
        flags::AgatecourseBenchCmd::Goodput(flags) => {
            let (result, stats) =
                goodput::goodput(flags.deployment.unwrap_or_default(), flags.seed);
            print_result("goodput", &result, flags.json, flags.report, &stats)
        }
        flags::AgatecourseBenchCmd::Overhead(flags) => {
            let result = actix_rt::System::new().block_on(overhead::overhead(flags.seed))?;
            print_result("overhead", &result, flags.json, None, &BTreeMap::new())
        }
        flags::AgatecourseBenchCmd::Prefill(flags) => {
            let (result, stats) =
                prefill::prefill(flags.deployment.unwrap_or_default(), flags.seed);
            print_result("prefill", &result, flags.json, flags.report, &stats)
        }
        flags::AgatecourseBenchCmd::Check(flags) => run_check(&flags),
    }
}

fn run_check(flags: &flags::Check) -> Result<(), Whatever> {
    let mut limits = CheckLimits::default();
    if let Some(seconds) = flags.config_in_force_s {
        limits = limits.with_config_in_force(Duration::from_secs(seconds));
    }
    let report = check::check(&flags.history, &limits).whatever_context("no result")?;
    print_result("check", &report, flags.json, None, &BTreeMap::new())?;
    let count = report.offending.len();
    ensure_whatever!(count == 0, "invariants are broken in {count} places");
    Ok(())
}

/// Prints a result as a table or as JSON, and writes the HTML report if requested.
fn print_result(
    bench: &str,
    result: &(impl Display + Serialize),
    json: bool,
    report: Option<PathBuf>,
    stats: &BTreeMap<PlacementPolicy, FleetStats>,
) -> Result<(), Whatever> {
    let table = result.to_string();
    if let Some(path) = report {
        write_report(&path, bench, &table, stats).whatever_context("no report was written")?;
    }
    if json {
        let text = serde_json::to_string(result).whatever_context("can't encode the result")?;
        println!("{text}");
    } else {
        println!("{table}");
    }
    Ok(())
}

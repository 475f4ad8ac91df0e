//! Program that runs one stand-in.

mod flags;

use agatecourse_standin::{
    EngineSettings, ObjectStoreSettings, ServiceSettings, Standin, TableSettings, VmListSettings,
    WeightStoreSettings,
};
use flags::{AgatecourseStandin, AgatecourseStandinCmd, Engine};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let flags = AgatecourseStandin::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: AgatecourseStandin) -> Result<(), String> {
    let address = flags.listen.unwrap_or(Standin::EPHEMERAL);
    let started = start_standin(flags.subcommand, address);
    let standin = started.map_err(|error| format!("{address}: {error}"))?.with_exit_on_crash();
    if let Some(faults) = flags.faults {
        let faults = serde_json::from_str(&faults).map_err(|error| error.to_string());
        let changed = faults.and_then(|faults| standin.change_faults(&faults));
        changed.map_err(|detail| format!("--faults: {detail}"))?;
    }
    println!("{}", serde_json::json!({ "listening": standin.address() }));
    standin.join().map_err(|error| error.to_string())
}

fn start_standin(command: AgatecourseStandinCmd, address: SocketAddr) -> io::Result<Standin> {
    match command {
        AgatecourseStandinCmd::Engine(flags) => engine_settings(flags).start(address),
        AgatecourseStandinCmd::Service(flags) => {
            let settings = ServiceSettings::new(flags.name.unwrap_or_else(|| "service".into()));
            let settings = set_if_some(settings, flags.service_ms, |settings, time_ms| {
                settings.with_service_time(Duration::from_millis(time_ms))
            });
            settings.start(address)
        }
        AgatecourseStandinCmd::Table(flags) => {
            let settings = TableSettings::new();
            let settings =
                set_if_some(settings, flags.reads_per_s, TableSettings::with_reads_per_s);
            set_if_some(settings, flags.writes_per_s, TableSettings::with_writes_per_s)
                .start(address)
        }
        AgatecourseStandinCmd::ObjectStore(flags) => {
            let reads_per_s = flags.reads_per_s.unwrap_or(2_000);
            let writes_per_s = flags.writes_per_s.unwrap_or(300);
            ObjectStoreSettings::new().with_rates_per_s(reads_per_s, writes_per_s).start(address)
        }
        AgatecourseStandinCmd::WeightStore(flags) => {
            let settings = WeightStoreSettings::new();
            let rate = flags.rate_bytes_per_s;
            let settings = set_if_some(settings, rate, WeightStoreSettings::with_rate_bytes_per_s);
            let settings =
                set_if_some(settings, flags.size_bytes, WeightStoreSettings::with_size_bytes);
            let settings =
                flags.missing.into_iter().fold(settings, WeightStoreSettings::with_missing);
            settings.start(address)
        }
        AgatecourseStandinCmd::VmList(flags) => {
            let lag = Duration::from_millis(flags.lag_ms.unwrap_or(0));
            VmListSettings::new().with_lag(lag).start(address)
        }
    }
}

fn engine_settings(flags: Engine) -> EngineSettings {
    let milliseconds = |time: Option<u64>| time.map(Duration::from_millis);
    let settings = EngineSettings::new(flags.name.unwrap_or_else(|| "engine".into()));
    let settings = set_if_some(settings, flags.model, EngineSettings::with_model);
    let settings = set_if_some(settings, flags.version, EngineSettings::with_version);
    let rate = flags.read_tokens_per_s;
    let settings = set_if_some(settings, rate, EngineSettings::with_read_tokens_per_s);
    let settings =
        set_if_some(settings, milliseconds(flags.token_ms), EngineSettings::with_token_time);
    let settings = set_if_some(settings, flags.batch_slowdown, EngineSettings::with_batch_slowdown);
    let settings = set_if_some(settings, flags.batch_limit, EngineSettings::with_batch_limit);
    let settings = set_if_some(settings, flags.queue_limit, EngineSettings::with_queue_limit);
    let settings = set_if_some(settings, flags.cache_blocks, EngineSettings::with_cache_blocks);
    let report_lag = milliseconds(flags.report_lag_ms);
    let settings = set_if_some(settings, report_lag, EngineSettings::with_report_lag);
    let event_lag = milliseconds(flags.cache_event_lag_ms);
    let settings = set_if_some(settings, event_lag, EngineSettings::with_cache_event_lag);
    let gap_every = flags.cache_event_gap_every;
    let settings = set_if_some(settings, gap_every, EngineSettings::with_cache_event_gap_every);
    let settings =
        set_if_some(settings, milliseconds(flags.load_ms), EngineSettings::with_load_time);
    let settings = set_if_some(settings, flags.version_limit, EngineSettings::with_version_limit);
    let settings = set_if_some(settings, flags.weight_store, EngineSettings::with_weight_store);
    if flags.fencing_check { settings.with_fencing_check() } else { settings }
}

/// Applies a setter when the flag was given.
fn set_if_some<S, V>(settings: S, value: Option<V>, setter: impl FnOnce(S, V) -> S) -> S {
    match value {
        Some(value) => setter(settings, value),
        None => settings,
    }
}

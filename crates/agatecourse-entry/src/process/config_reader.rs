use crate::process::NodeState;
use agatecourse_core::process::ConfigEvent;
use agatecourse_platform::TableClient;
use agatecourse_types::ConfigVersion;
use serde::Deserialize;
use slog::warn;
use snafu::{OptionExt, ResultExt, Whatever};
use std::sync::Arc;
use std::time::Duration;

const TABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Content of the row `config/current`.
#[derive(Deserialize)]
struct CurrentConfigRow {
    version: ConfigVersion,
}

/// Starts a task that reads the configuration from the table if its version is above `above`, and passes the result to
/// the node group.
pub(crate) fn spawn_config_read(state: &Arc<NodeState>, above: ConfigVersion) {
    let state = state.clone();
    let tasks = state.config_tasks.clone();
    // The HTTP client only works on the thread that created it.
    tasks.spawn_fn(move || {
        actix::spawn(read_and_apply(state, above));
    });
}

async fn read_and_apply(state: Arc<NodeState>, above: ConfigVersion) {
    let table = TableClient::new(state.settings.table_address).with_timeout(TABLE_TIMEOUT);
    let event = match read_config(&table, above).await {
        Ok(event) => event,
        Err(reason) => {
            state.metrics.config_errors.inc();
            warn!(state.log, "configuration can't be read"; "reason" => reason.to_string());
            ConfigEvent::TableUnavailable
        }
    };
    state.group().config_event(&state, event);
}

async fn read_config(table: &TableClient, above: ConfigVersion) -> Result<ConfigEvent, Whatever> {
    let current = table.get("config/current").await.whatever_context("row config/current")?;
    let current = current.whatever_context("the table has no row config/current")?;
    let CurrentConfigRow { version } =
        serde_json::from_slice(&current.value).whatever_context("row config/current")?;
    if version <= above {
        return Ok(ConfigEvent::TableUnchanged);
    }
    let key = format!("config/{version}");
    let row = table.get(&key).await.with_whatever_context(|_| format!("row {key}"))?;
    let row = row.with_whatever_context(|| format!("the table has no row {key}"))?;
    let text = String::from_utf8(row.value).whatever_context("the row is not UTF-8 text")?;
    Ok(ConfigEvent::TableConfig { version, text })
}

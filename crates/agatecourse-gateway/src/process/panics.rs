use std::panic::{AssertUnwindSafe, catch_unwind};

/// Runs a piece of work whose panic must not end the task that it is part of.
///
/// # Errors
///
/// Returns the message of the panic.
pub(crate) fn run_isolated(work: impl FnOnce()) -> Result<(), String> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|panic| {
        let text = panic.downcast_ref::<&str>().map(ToString::to_string);
        text.or_else(|| panic.downcast_ref::<String>().cloned())
            .unwrap_or_else(|| "no message".to_string())
    })
}

use crate::DemoError;
use crate::error::{BuildSnafu, IoSnafu};
use snafu::{ResultExt, ensure};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

const PROGRAM: &str = "agatecourse-entry";

/// Returns the path of the node executable in the directory of the demo's own executable; builds it with the same
/// profile if it is missing.
pub(crate) fn find_or_build_node_program() -> Result<PathBuf, DemoError> {
    let demo_program =
        std::env::current_exe().context(IoSnafu { action: "finding the demo's program" })?;
    let directory = profile_directory(&demo_program);
    let program = directory.join(PROGRAM);
    if !program.is_file() {
        eprintln!("{PROGRAM} is missing; building it");
        build_node_program(directory)?;
        let detail = format!("cargo succeeded, but {} is missing", program.display());
        ensure!(program.is_file(), BuildSnafu { detail });
    }
    Ok(program)
}

/// Returns the directory of the build profile; test executables lie one level below it, in `deps`.
fn profile_directory(demo_program: &Path) -> &Path {
    let directory = demo_program.parent().unwrap_or(Path::new("."));
    let parent = directory.parent().filter(|_| directory.ends_with("deps"));
    parent.unwrap_or(directory)
}

fn build_node_program(directory: &Path) -> Result<(), DemoError> {
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(env!("CARGO_MANIFEST_DIR")).args(["build", "--bin", PROGRAM]);
    command.args(["--package", PROGRAM]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if let Some(target) = directory.parent() {
        command.arg("--target-dir").arg(target);
    }
    let status = command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .status()
        .context(IoSnafu { action: "running cargo" })?;
    ensure!(status.success(), BuildSnafu { detail: format!("cargo ended with {status}") });
    Ok(())
}

//! Locations of the programs that the harness starts.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use crate::errors::Error;
use crate::errors::Result;

/// Paths of the programs that the harness starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Programs {
    /// The `hemlockfall` binary.
    pub hemlockfall: PathBuf,
    /// The `xtask` binary with the stand-ins.
    pub xtask: PathBuf,
}

impl Programs {
    /// Finds the programs beside the running executable and builds `hemlockfall`
    /// with the same profile when it is missing.
    ///
    /// # Errors
    /// [`Error::Resource`] or [`Error::Process`] when a program is missing and cannot be built.
    pub fn locate() -> Result<Self> {
        let programs = Self::beside_running_executable()?;
        if !programs.hemlockfall.exists() {
            build(&programs.hemlockfall)?;
        }
        Ok(programs)
    }

    /// Returns the paths without checking or building anything.
    ///
    /// # Errors
    /// [`Error::Resource`] when the path of the running executable is unknown.
    pub fn beside_running_executable() -> Result<Self> {
        let running = std::env::current_exe()
            .map_err(|error| Error::resource("running executable", error))?;
        let directory = profile_directory(&running)
            .ok_or_else(|| Error::resource("running executable", "it has no directory"))?;
        Ok(Self {
            hemlockfall: directory.join("hemlockfall"),
            xtask: directory.join("xtask"),
        })
    }
}

/// Returns the directory of the binaries; test executables are in `deps`, one level below it.
fn profile_directory(executable: &Path) -> Option<&Path> {
    let directory = executable.parent()?;
    if directory.ends_with("deps") {
        directory.parent()
    } else {
        Some(directory)
    }
}

fn build(hemlockfall: &Path) -> Result<()> {
    let directory = hemlockfall.parent().unwrap_or(Path::new("."));
    let target_directory = directory.parent().unwrap_or(Path::new("."));
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command
        .args(["build", "--locked", "--quiet", "--package", "hemlockfall"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .arg("--target-dir")
        .arg(target_directory);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command
        .status()
        .map_err(|error| Error::process("cargo build", error))?;
    if status.success() && hemlockfall.exists() {
        return Ok(());
    }
    Err(Error::process("cargo build", status))
}

use std::{
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::OnceLock,
};

use crate::StandinError;

/// The programs that a fleet starts.
#[derive(Clone, Debug)]
pub(crate) struct FleetPrograms {
    pub(crate) mangostep: PathBuf,
    pub(crate) standin: PathBuf,
}

impl FleetPrograms {
    /// Builds the programs once a process, in the profile of this one.
    pub(crate) fn build() -> Result<Self, StandinError> {
        static PROGRAMS: OnceLock<Result<FleetPrograms, String>> = OnceLock::new();
        let built = PROGRAMS.get_or_init(|| build().map_err(|err| err.to_string()));
        built
            .clone()
            .map_err(|message| StandinError::new("build programs", "cargo", message))
    }
}

fn build() -> Result<FleetPrograms, StandinError> {
    let failed = |message: String| StandinError::new("build programs", "cargo", message);
    let exe = std::env::current_exe().map_err(|err| failed(err.to_string()))?;
    let directory = profile_directory(&exe).ok_or_else(|| failed("no target directory".into()))?;
    let profile = match directory.file_name().and_then(|name| name.to_str()) {
        Some("debug") => "dev".to_owned(),
        Some(name) => name.to_owned(),
        None => return Err(failed("no profile".into())),
    };
    let target = directory.parent().unwrap_or(directory);
    // One call for each, since a common one would build with other features
    // of shared libraries than the user's own builds do.
    for package in ["mangostep", "standins"] {
        run_cargo(package, &profile, target)?;
    }
    Ok(FleetPrograms {
        mangostep: directory.join("mangostep"),
        standin: directory.join("standin"),
    })
}

/// The directory of the profile, such as `target/debug`.
fn profile_directory(exe: &Path) -> Option<&Path> {
    let parent = exe.parent()?;
    if parent.ends_with("deps") || parent.ends_with("examples") {
        parent.parent()
    } else {
        Some(parent)
    }
}

fn run_cargo(package: &str, profile: &str, target: &Path) -> Result<(), StandinError> {
    let program = if package == "standins" {
        "standin"
    } else {
        package
    };
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let output = Command::new(cargo)
        .args(["build", "--quiet", "--manifest-path"])
        .arg(manifest)
        .args(["-p", package, "--bin", program, "--profile", profile])
        .arg("--target-dir")
        .arg(target)
        .stdin(Stdio::null())
        .output()
        .map_err(|err| StandinError::new("build programs", package, err))?;
    if output.status.success() {
        return Ok(());
    }
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(StandinError::new("build programs", package, message))
}

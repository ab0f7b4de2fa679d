//! Generates the code of the messages between instances.

use std::{fs, path};

use miette::{Context as _, IntoDiagnostic as _};

/// Directory of the crate that holds the messages, from the root of the workspace.
const WIRE_DIRECTORY: &str = "components/wire";

/// File of the messages, in the directory of message files.
const PROTO_FILE: &str = "peer.proto";

/// Generates the code of the messages between instances from their description.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "generate")]
pub(crate) struct GenerateTask {
    /// fail when the committed code differs from what would be generated
    #[argh(switch)]
    check: bool,
}

impl GenerateTask {
    /// Runs the task.
    pub(crate) fn run(self) -> miette::Result<()> {
        let wire = workspace_directory().join(WIRE_DIRECTORY);
        let committed = wire.join("src/generated");
        if self.check {
            return check(&wire, &committed);
        }
        generate(&wire.join("proto"), &committed)
    }
}

fn workspace_directory() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn check(wire: &path::Path, committed: &path::Path) -> miette::Result<()> {
    let fresh = workspace_directory().join("target/generated-check");
    fs::create_dir_all(&fresh).into_diagnostic()?;
    generate(&wire.join("proto"), &fresh)?;
    let name = "plantainreach.peer.v1.rs";
    let expected = fs::read_to_string(fresh.join(name)).into_diagnostic()?;
    let found = fs::read_to_string(committed.join(name)).into_diagnostic()?;
    miette::ensure!(
        expected == found,
        help = "run `cargo xtask generate` and commit the result",
        "the committed code of the messages is out of date"
    );
    Ok(())
}

fn generate(proto: &path::Path, target: &path::Path) -> miette::Result<()> {
    let files = protox::compile([PROTO_FILE], [proto]).context("reading the messages")?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(target)
        .compile_fds(files)
        .into_diagnostic()
        .context("writing the code")
}

//! Generates the Rust code of the messages between instances from their protobuf definitions.

use std::{fs, path};

use miette::{Context as _, IntoDiagnostic as _};

/// Directory of the crate with the messages, relative to the root of the workspace.
const WIRE_DIRECTORY: &str = "components/wire";

/// Protobuf file with the messages, in the crate's `proto` directory.
const PROTO_FILE: &str = "peer.proto";

/// Generates the Rust code of the messages between instances from their protobuf definitions.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "generate")]
pub(crate) struct GenerateTask {
    /// compare the committed code with newly generated code and fail if they differ
    #[argh(switch)]
    check: bool,
}

impl GenerateTask {
    /// Writes the generated code to the source tree, or compares it with the committed code if
    /// `check` is set.
    ///
    /// Returns an error if the definitions don't compile, a file can't be read or written, or the
    /// committed code is out of date.
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
    let directory = workspace_directory().join("target/generated-check");
    fs::create_dir_all(&directory).into_diagnostic()?;
    generate(&wire.join("proto"), &directory)?;
    let file_name = "plantainreach.peer.v1.rs";
    let expected = fs::read_to_string(directory.join(file_name)).into_diagnostic()?;
    let found = fs::read_to_string(committed.join(file_name)).into_diagnostic()?;
    miette::ensure!(
        expected == found,
        help = "run `cargo xtask generate` and commit the result",
        "the generated code in `components/wire` is out of date"
    );
    Ok(())
}

fn generate(proto: &path::Path, target: &path::Path) -> miette::Result<()> {
    let files = protox::compile([PROTO_FILE], [proto])
        .context("failed to compile the protobuf definitions")?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(target)
        .compile_fds(files)
        .into_diagnostic()
        .context("failed to write the generated code")
}

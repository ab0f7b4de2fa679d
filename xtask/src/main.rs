//! Maintenance tasks of the workspace, run with `cargo xtask`.

mod generate;

/// Maintenance tasks of the workspace.
#[derive(argh::FromArgs)]
struct TaskOptions {
    #[argh(subcommand)]
    task: Task,
}

/// Subcommands, one per task.
#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Task {
    Generate(generate::GenerateTask),
}

fn main() -> miette::Result<()> {
    let options: TaskOptions = argh::from_env();
    match options.task {
        Task::Generate(task) => task.run(),
    }
}

//! Tasks of the maintainers.

mod generate;

/// Tasks of the maintainers.
#[derive(argh::FromArgs)]
struct TaskOptions {
    #[argh(subcommand)]
    task: Task,
}

/// The tasks.
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

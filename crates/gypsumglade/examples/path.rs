//! Runs the bench of the call path; `gypsumglade bench path` does the same.
use gypsumglade::bench::path::{PathBench, run};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    println!("{}", run(folder.path(), PathBench::default()).await?);
    Ok(())
}

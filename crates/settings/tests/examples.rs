//! The settings files in `examples/` are valid.

use std::path::{Path, PathBuf};

use elderworks_settings::check_file;

fn example_files(directory: &str) -> Vec<PathBuf> {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let entries = std::fs::read_dir(examples.join(directory)).expect("the directory exists");
    entries
        .map(|entry| entry.expect("readable").path())
        .collect()
}

#[test]
fn example_files_are_valid() {
    let expected = [("nodes", 3), ("sidecars", 2), ("platform", 7)];
    for (directory, count) in expected {
        let files = example_files(directory);
        assert_eq!(files.len(), count, "{directory}");
        for file in files {
            if let Err(error) = check_file(&file) {
                panic!("{error}");
            }
        }
    }
}

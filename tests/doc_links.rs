//! Tests that relative links between the documentation pages point to existing files.

use std::{fs, path};

fn root() -> &'static path::Path {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns the paths of all Markdown files below a directory.
fn pages(directory: &path::Path) -> Vec<path::PathBuf> {
    let entries = fs::read_dir(directory).expect("the directory is readable");
    let mut found = Vec::new();
    for entry in entries {
        let path = entry.expect("the directory entry is readable").path();
        if path.is_dir() {
            found.extend(pages(&path));
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
    found
}

/// Returns the file targets of the links of a page, without URLs and anchors.
fn link_targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split([')', '#']).next())
        .filter(|target| !target.is_empty() && !target.contains("://"))
        .collect()
}

#[test]
fn links_between_pages_resolve() {
    let mut pages = pages(&root().join("docs"));
    pages.push(root().join("README.md"));

    for page in pages {
        let text = fs::read_to_string(&page).expect("the page is readable");
        let directory = page.parent().expect("a page has a parent directory");
        for target in link_targets(&text) {
            assert!(
                directory.join(target).exists(),
                "{}: {target}",
                page.display()
            );
        }
    }
}

//! Links between the pages lead to files that exist.

use std::{fs, path};

fn root() -> &'static path::Path {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Returns every page below a directory.
fn pages(directory: &path::Path) -> Vec<path::PathBuf> {
    let entries = fs::read_dir(directory).expect("the directory can be read");
    let mut found = Vec::new();
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            found.extend(pages(&path));
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
    found
}

/// Returns the targets of the links of a page that lead to files.
fn targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split([')', '#']).next())
        .filter(|target| !target.is_empty() && !target.contains("://"))
        .collect()
}

#[test]
fn every_link_between_pages_leads_to_a_file() {
    let mut pages = pages(&root().join("docs"));
    pages.push(root().join("README.md"));

    for page in pages {
        let text = fs::read_to_string(&page).expect("the page can be read");
        let directory = page.parent().expect("a page stands in a directory");
        for target in targets(&text) {
            assert!(
                directory.join(target).exists(),
                "{}: {target}",
                page.display()
            );
        }
    }
}

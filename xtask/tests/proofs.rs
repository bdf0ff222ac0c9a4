//! Page of proofs: every test or scenario that it names exists.

use std::path::Path;
use std::path::PathBuf;

const PROOF_COLUMN: usize = 2;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn test_sources(directory: &Path, sources: &mut String) {
    let entries = std::fs::read_dir(directory).expect("a readable directory");
    for entry in entries {
        let path = entry.expect("a readable entry").path();
        if path.is_dir() && !path.ends_with("target") {
            test_sources(&path, sources);
        } else if path.extension().is_some_and(|suffix| suffix == "rs")
            && path.components().any(|part| part.as_os_str() == "tests")
        {
            sources.push_str(&std::fs::read_to_string(&path).expect("a readable source"));
        }
    }
}

fn named_proofs(page: &str) -> Vec<&str> {
    page.lines()
        .filter(|line| line.starts_with('|') && line.contains('`'))
        .filter_map(|line| line.split('|').nth(PROOF_COLUMN))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .collect()
}

/// Guards against rows whose test or scenario was renamed or removed without the page.
#[test]
fn named_proofs_exist() {
    let page = std::fs::read_to_string(root().join("docs/PROOFS.md")).expect("the page exists");
    let mut sources = String::new();
    test_sources(&root().join("crates"), &mut sources);
    test_sources(&root().join("xtask"), &mut sources);
    let scenarios = root().join("xtask/tests/scenarios");

    let proofs = named_proofs(&page);

    let exists = |name: &str| {
        sources.contains(&format!("fn {name}()"))
            || scenarios.join(format!("{name}.scenario")).exists()
    };
    let missing: Vec<&&str> = proofs.iter().filter(|name| !exists(name)).collect();
    assert!(proofs.len() >= 40, "{} proofs", proofs.len());
    assert!(missing.is_empty(), "{missing:?}");
}

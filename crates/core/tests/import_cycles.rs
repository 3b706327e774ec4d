//! The modules of each crate import one another without cycles.

use std::{collections, fs, path};

type Imports = collections::BTreeMap<String, collections::BTreeSet<String>>;

/// Names of the modules that `text` refers to through `crate::`.
fn scan_imports(text: &str) -> collections::BTreeSet<String> {
    let is_ident_char =
        |char: char| char.is_ascii_lowercase() || char == '_' || char.is_ascii_digit();
    let name =
        |path: &str| path.trim().split(|char| !is_ident_char(char)).next().unwrap().to_string();
    let mut found = collections::BTreeSet::new();
    for (at, start) in text.match_indices("crate::") {
        let rest = &text[at + start.len()..];
        match rest.strip_prefix('{').and_then(|rest| rest.split_once('}')) {
            Some((group, _)) => found.extend(group.split(',').map(name)),
            None => drop(found.insert(name(rest))),
        }
    }
    found
}

/// Returns a module on an import cycle, if there is one.
fn find_cycle(imports: &Imports) -> Option<String> {
    let reaches_itself = |start: &&String| {
        let mut seen = collections::BTreeSet::new();
        let mut pending: Vec<&String> = vec![*start];
        while let Some(module) = pending.pop() {
            for other in imports.get(module).into_iter().flatten() {
                if other == *start {
                    return true;
                }
                if seen.insert(other) {
                    pending.push(other);
                }
            }
        }
        false
    };
    imports.keys().find(reaches_itself).cloned()
}

fn read_imports(dir: &path::Path) -> Imports {
    let files = fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path());
    let modules = files.filter(|path| path.extension().is_some_and(|kind| kind == "rs"));
    let imports = modules.map(|path| {
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        let mut imports = scan_imports(&fs::read_to_string(&path).unwrap());
        imports.remove(&name);
        (name, imports)
    });
    imports.collect()
}

#[test]
fn cycle_found() {
    let text = "use crate::{connector, entry::Entry};\nfn run(peer: &crate::peer::Peer) {}\n";
    assert_eq!(scan_imports(text).into_iter().collect::<Vec<_>>(), ["connector", "entry", "peer"]);
    let import = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let mut imports = Imports::new();
    imports.insert("entry".into(), import(&["peer"]));
    imports.insert("peer".into(), import(&["connector"]));
    assert_eq!(find_cycle(&imports), None);
    imports.insert("connector".into(), import(&["entry"]));
    assert_eq!(find_cycle(&imports).as_deref(), Some("connector"));
}

#[test]
fn no_cycles() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let crates = fs::read_dir(root.join("crates")).unwrap();
    let dirs = crates.map(|entry| entry.unwrap().path()).chain([root.join("platform")]);
    for dir in dirs.map(|dir| dir.join("src")).filter(|dir| dir.is_dir()) {
        let cycle = find_cycle(&read_imports(&dir));
        assert_eq!(cycle, None, "import cycle in {}", dir.display());
    }
}

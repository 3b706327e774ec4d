//! Each mistake in a list is reported with its line and a remedy.

use rhubarb_ctl::checks;

const VALID_LIST: &str = "\
[service board]
kind = plain
servers = board-1, board-2
once = POST /confirm

[service fibre]
kind = model
depends = board
model = fibre-7b
prefill = p-1
decode = d-1

[caller south]
keys = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
services = board
";

#[test]
fn valid_list() {
    let list = checks::check_text("list.ini", VALID_LIST).unwrap();
    let order: Vec<_> =
        list.dependency_order().iter().map(|service| service.name.clone()).collect();
    assert_eq!(order, ["board", "fibre"]);
    assert!(list.services["board"].needs_key("POST", "/confirm"));
}

#[test]
fn each_mistake() {
    let cases = [
        ("depends = board", "depends = bord", "line 6: `fibre` depends on unknown service `bord`"),
        ("kind = plain", "kind = plan", "line 2: `kind = plan` is not a kind; give model or plain"),
        ("kind = plain", "kind = plain\nkind = plain", "line 3: `kind` is given twice"),
        ("[service fibre]", "[service board]", "line 6: [service board] is given twice, first on"),
        ("[service fibre]", "[sevrice fibre]", "line 6: [sevrice fibre] is not a known section"),
        ("servers = board-1, board-2", "servers =", "names no server in `servers`"),
        ("board-1, board-2", "board-1, bo ard", "line 3: `bo ard` is not a server name"),
        ("prefill = p-1", "prefill = board-1", "server `board-1` is already used on line 1"),
        ("model = fibre-7b", "mdoel = fibre-7b", "line 9: [service fibre] has an unknown field"),
        ("model = fibre-7b", "", "line 6: [service fibre] has no `model`; add a line `model = …`"),
        ("decode = d-1", "decode = d-1\ndeadline = 60", "line 12: `deadline = 60` is not a time"),
        ("decode = d-1", "decode = d-1\ndeadline = 0s", "line 12: `deadline` is zero"),
        ("decode = d-1", "decode = d-1\nversion = x", "line 12: `version = x` is not a whole"),
        ("decode = d-1", "decode = d-1\nfenced = maybe", "line 12: `fenced = maybe` is not yes"),
        ("decode = d-1", "decode = d-1\nretry_window = 5s", "`retry_window` is shorter than"),
        ("POST /confirm", "POST confirm", "line 4: `POST confirm` in `once` is not a method"),
        ("services = board", "services = bored", "caller `south` names unknown service `bored`"),
        ("services = board", "rate = 0", "line 15: `rate` is zero"),
        ("services = board", "rate = -1", "line 15: `rate = -1` is not a positive whole number"),
        ("keys = aaaa", "keys = AAAA", "line 14: a key of caller `south` is not a SHA-256"),
        ("keys = ", "key = ", "caller `south` has no `keys`"),
        ("[service board]\n", "x = 1\n[service board]\n", "line 1: fields before the first"),
        ("kind = plain", "kind", "line 2: `kind` is neither a section nor a field"),
    ];
    for (from, to, expected) in cases {
        assert!(VALID_LIST.contains(from), "{from}");
        let text = VALID_LIST.replacen(from, to, 1);
        let mistakes = checks::check_text("list.ini", &text).expect_err(expected);
        assert!(mistakes.contains(expected), "expected: {expected}\nfound: {mistakes}");
        for line in mistakes.lines() {
            assert!(line.starts_with("list.ini: line "), "{line}");
            assert!(line.contains("; "), "no remedy: {line}");
        }
    }
}

#[test]
fn dependency_cycle() {
    let text = VALID_LIST.replacen("kind = plain", "kind = plain\ndepends = fibre", 1);
    let mistakes = checks::check_text("list.ini", &text).unwrap_err();
    assert!(mistakes.contains("line 1: `board` depends on itself through its dependencies"));
    assert!(mistakes.contains("`fibre` depends on itself"));
}

#[test]
fn no_followup_mistakes() {
    let text = VALID_LIST.replacen("kind = plain", "kind = plan", 1);
    let mistakes = checks::check_text("list.ini", &text).unwrap_err();
    assert_eq!(mistakes.lines().count(), 1, "{mistakes}");
}

#[test]
fn all_mistakes_reported() {
    let text = VALID_LIST.replacen("kind = plain", "kind = plan", 1).replacen("p-1", "p 1", 1);
    let mistakes = checks::check_text("list.ini", &text).unwrap_err();
    assert!(mistakes.lines().count() >= 2, "{mistakes}");
}

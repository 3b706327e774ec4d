//! Settings files: every mistake is reported with its file, line and remedy.

use rhubarb_node::{logs, settings, shared_settings};

fn read(text: &str) -> Result<(), settings::SettingsError> {
    let mut file = settings::Settings::parse("x.ini", text)?;
    shared_settings::PlatformUrls::read(&mut file);
    let log = shared_settings::read_log(&mut file);
    assert!(matches!(log.format, logs::Format::Text | logs::Format::Json));
    file.finish()
}

const GOOD: &str = "\
[platform]
table = http://10.0.0.1:8000/table
objects = http://10.0.0.1:8000/objects
instances = http://10.0.0.1:8000/instances

[log]
format = json
level = warn
";

#[test]
fn good_file() {
    assert!(read(GOOD).is_ok());
}

#[test]
fn each_mistake() {
    let cases = [
        ("table = http://10.0.0.1:8000/table", "", "x.ini: line 1: [platform] has no `table`"),
        ("http://10.0.0.1:8000/table", "ftp://x", "line 2: `table = ftp://x` is not an HTTP URL"),
        ("http://10.0.0.1:8000/table", "http://host/t", "line 2: `table = http://host/t` is not"),
        ("format = json", "format = xml", "line 7: `format = xml` is not text or json"),
        ("level = warn", "level = all", "line 8: `level = all` is not error, warn, info or debug"),
        ("level = warn", "levle = warn", "line 8: [log] has an unknown field `levle`"),
        ("[log]", "[logs]", "line 6: [logs] is not a known section"),
    ];
    for (from, to, wanted) in cases {
        assert!(GOOD.contains(from));
        let found = read(&GOOD.replacen(from, to, 1)).expect_err(wanted).to_string();
        assert!(found.contains(wanted), "wanted: {wanted}\nfound: {found}");
    }
}

#[test]
fn missing_file() {
    let err = settings::Settings::load("/nowhere/x.ini").unwrap_err().to_string();
    assert!(err.contains("give the path of a settings file"), "{err}");
}

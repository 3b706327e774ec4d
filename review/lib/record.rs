//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static FILE: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let _ = FILE.set((Mutex::new(file), Instant::now()));
}

pub fn line(text: &str) {
    let Some((file, start)) = FILE.get() else { return };
    let at = start.elapsed().as_secs_f64();
    let _ = writeln!(file.lock().unwrap(), "{at:8.3} {text}");
}

/// Writes a line to the record and to the terminal.
pub fn tell(text: &str) {
    line(text);
    println!("{text}");
}

//! The demonstration as a user runs it: real sockets, threads and time.

use std::process::Command;

use serde_json::Value;

#[test]
fn demo_json_keeps_every_promise() {
    let output = Command::new(env!("CARGO_BIN_EXE_dahliactl"))
        .args(["demo", "--json"])
        .output()
        .expect("the binary is built");
    let text = String::from_utf8_lossy(&output.stdout);
    let report: Value = serde_json::from_str(&text).expect("one JSON document");
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        report["error"]["broken"]
    );
    let checks = report["checks"].as_array().expect("a list of promises");
    assert!(checks.len() > 20 && checks.iter().all(|check| check["kept"] == true));
}

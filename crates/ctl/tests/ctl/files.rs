//! Checks of files: every problem, with line and column.

use crate::support::{File, run_with};
use std::fmt::Write;

use dahliastile_ctl::{Error, Problem};

fn problems(text: &str) -> Vec<(u64, u64, String)> {
    let file = File::new(text);
    match run_with(&["check", file.path()], &|_| None) {
        Err(error @ Error::File { .. }) => {
            assert_eq!(error.code(), 2);
            let Error::File { problems, .. } = error else {
                return Vec::new();
            };
            let parts = |p: Problem| (p.line, p.column, p.message);
            problems.into_iter().map(parts).collect()
        }
        other => panic!("{other:?}"),
    }
}

fn assert_problems(text: &str, wanted: &[(u64, u64, &str)]) {
    let found = problems(text);
    assert_eq!(found.len(), wanted.len(), "{found:#?}");
    for ((line, column, message), wanted) in found.iter().zip(wanted) {
        assert_eq!((*line, *column), (wanted.0, wanted.1), "{message}");
        assert!(message.contains(wanted.2), "{message}");
    }
}

#[test]
fn check_document_names_every_wrong_field() {
    assert_problems(
        "services:\n- name: s\n  kind: odd\n  queue: many\nservers:\n- name: a\n  service: s\n  zone: z\n\
         rules:\n- name: r\n  when: {caler: x}\n  then:\n    pin: a\n    rate: -1\nrulez: []\n",
        &[
            (3, 3, "unknown variant `odd`"),
            (4, 3, "invalid type: string \"many\""),
            (6, 3, "lacks address"),
            (11, 10, "unknown field `caler`"),
            (13, 5, "invalid type: string \"a\""),
            (14, 5, "invalid value: integer `-1`"),
            (15, 1, "not a section"),
        ],
    );
}

#[test]
fn check_document_names_every_wrong_reference() {
    assert_problems(
        "services:\n- {name: s, kind: plain}\nrules:\n- name: r\n  when: {caller: nobody}\n  then:\n    pin: [gone, lost]\n",
        &[
            (5, 10, "names no caller"),
            (7, 11, "names no server"),
            (7, 17, "names no server"),
        ],
    );
}

#[test]
fn check_key_twice_is_a_problem() {
    assert_problems("rules:\n- name: r\n  name: q\n", &[(3, 3, "is set twice")]);
}

#[test]
fn check_no_yaml_names_the_place() {
    let found = problems("rules:\n- name: [r\n");
    assert_eq!(found.len(), 1);
    assert!(found[0].2.contains("not well-formed YAML"), "{found:?}");
}

#[test]
fn check_settings_uses_the_daemons_check() {
    let found = problems("vm: v1\nzone: z\ntick: 3\n");
    assert!(
        found
            .iter()
            .any(|(line, _, text)| *line == 3 && text.contains("tick")),
        "{found:?}"
    );
    assert!(
        found
            .iter()
            .any(|(_, _, text)| text.contains("platform.endpoints")),
        "{found:?}"
    );
}

#[test]
fn check_good_document_gives_warnings() {
    let file = File::new("rules:\n- {name: all}\n- {name: never}\n");
    let output = run_with(&["check", file.path()], &|_| None).expect("it holds together");
    assert!(output.text.contains("no problems"), "{}", output.text);
    assert!(output.text.contains("never decides"), "{}", output.text);
}

#[test]
fn check_large_document_is_read() {
    let mut text = String::from("services:\n- {name: s, kind: model, store: w}\nadapters:\n");
    for number in 0..33_000 {
        let _ = writeln!(text, "- {{name: a{number}, service: s, versions: [\"1\"]}}");
    }
    let file = File::new(&text);
    let output = run_with(&["check", file.path()], &|_| None).expect("it holds together");
    assert_eq!(output.json["kind"], "configuration");
}

#[test]
fn check_missing_file_says_which() {
    let error = run_with(&["check", "no/such/file"], &|_| None).expect_err("it is not there");
    assert_eq!(error.code(), 2);
    assert!(error.to_string().contains("no/such/file"));
}

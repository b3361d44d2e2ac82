//! Commands against a scripted listener: what is sent, what is printed, and the exit codes.

use crate::support::{Answer, File, Listener, accepted, names, reply, rule, rules, run_with, show};
use dahliastile_core::config::{Change, Edit, Place};
use dahliastile_core::error::{Answer as Failed, Kind};
use dahliastile_core::id::Edition;
use dahliastile_core::operator::{Clash, Command, Reply, Status};
use dahliastile_ctl::{Error, clash_text};

fn edits(listener: &Listener) -> Vec<Edit> {
    let edit = |command| match command {
        Command::Edit(edit) => Some(edit),
        _ => None,
    };
    listener.asked().into_iter().filter_map(edit).collect()
}

#[test]
fn insert_file_carries_base_author_and_place() {
    let file = File::new("name: new\nthen: {prefer_zone: z}\n");
    let listener = Listener::start(vec![show(4, rules(&["a"])), accepted(5)]);
    let output = listener.run(&["rules", "insert", file.path(), "--before", "a"]);
    assert!(output.expect("accepted").text.contains("edition 5"));
    let edit = &edits(&listener)[0];
    assert_eq!((edit.base, edit.author.as_str()), (Edition(4), "ada"));
    assert!(!edit.id.is_empty());
    let place = Place::Before("a".parse().expect("a name"));
    let rule = rule("new", "z");
    assert_eq!(edit.changes, [Change::InsertRule { rule, place }]);
}

#[test]
fn edit_answer_lost_is_sent_again_with_its_id() {
    let script = vec![
        show(4, rules(&["a"])),
        Answer::Nothing,
        Answer::Nothing,
        accepted(5),
    ];
    let listener = Listener::start(script);
    let output = listener
        .run(&["rules", "remove", "a", "--json"])
        .expect("accepted");
    assert_eq!(output.json["edition"], 5);
    let edits = edits(&listener);
    assert_eq!(edits.len(), 3);
    assert!(edits.iter().all(|edit| *edit == edits[0]));
}

#[test]
fn edit_answers_all_lost_is_unknown() {
    let listener = Listener::start(vec![Answer::Nothing]);
    let words = ["--patience", "0", "rules", "remove", "a", "--base", "4"];
    let error = listener.run(&words).expect_err("no answer");
    assert!(matches!(error, Error::Unknown { .. }), "{error}");
    assert_eq!(error.code(), 4);
}

#[test]
fn edit_clash_shows_both_versions() {
    let clash = Clash {
        edition: Edition(6),
        subject: "rule a".to_owned(),
        yours: "prefer_zone: x\nrate: 2".to_owned(),
        theirs: "prefer_zone: y".to_owned(),
        author: "bea".to_owned(),
    };
    let listener = Listener::start(vec![reply(Reply::Clash(Box::new(clash)))]);
    let words = ["rules", "remove", "a", "--base", "4"];
    let error = listener.run(&words).expect_err("a clash");
    assert_eq!(error.code(), 3);
    let Error::Clash(clash) = error else {
        panic!("{error}");
    };
    let text = clash_text(&clash);
    let both = |line: &str| line.contains("prefer_zone: x") && line.contains("| prefer_zone: y");
    assert!(text.lines().any(both), "{text}");
}

#[test]
fn apply_rules_sends_only_what_differs() {
    let file =
        File::new("- {name: b, then: {prefer_zone: z}}\n- {name: c, then: {prefer_zone: z}}\n");
    let listener = Listener::start(vec![show(4, rules(&["a", "b"])), accepted(5)]);
    listener
        .run(&["rules", "apply", file.path()])
        .expect("accepted");
    let edit = &edits(&listener)[0];
    assert!(matches!(
        edit.changes[..],
        [Change::InsertRule { .. }, Change::RemoveRule { .. }]
    ));
}

#[test]
fn apply_rules_on_an_older_base_leaves_the_merge_to_the_daemon() {
    let file = File::new("- {name: b}\n");
    let listener = Listener::start(vec![show(4, rules(&["a"])), accepted(5)]);
    let words = ["rules", "apply", file.path(), "--base=3"];
    listener.run(&words).expect("accepted");
    let edit = &edits(&listener)[0];
    assert_eq!(edit.base, Edition(3));
    assert!(matches!(&edit.changes[..], [Change::SetRules { rules }] if names(rules) == ["b"]));
}

#[test]
fn diff_file_changes_nothing() {
    let file = File::new("- {name: b}\n");
    let listener = Listener::start(vec![show(4, rules(&["a"]))]);
    let output = listener
        .run(&["rules", "diff", file.path()])
        .expect("shown");
    assert!(
        output.text.contains("+ b") && output.text.contains("- a"),
        "{}",
        output.text
    );
    assert!(edits(&listener).is_empty());
}

#[test]
fn revert_edition_sends_the_opposite_as_a_new_edit() {
    let history = serde_json::json!({"history": [
        {"edition": 2, "edit": {"id": "d", "author": "a", "base": 1,
            "changes": [{"replace_rule": {"rule": rule("a", "drill")}}]}},
        {"edition": 1, "edit": {"id": "c", "author": "a", "base": 0,
            "changes": [{"set_rules": {"rules": rules(&["a"])}}]}},
    ]});
    let history = serde_json::from_value(history).expect("a reply");
    let now = vec![rule("new", "n"), rule("a", "drill")];
    let script = vec![reply(history), show(3, now), accepted(4)];
    let listener = Listener::start(script);
    listener.run(&["rules", "revert", "2"]).expect("accepted");
    let edit = &edits(&listener)[0];
    assert_eq!(edit.base, Edition(3));
    let rule = rule("a", "z");
    assert_eq!(edit.changes, [Change::ReplaceRule { rule }]);
}

#[test]
fn test_request_is_read_from_words() {
    let decided = serde_json::json!({"test": {"rule": rule("a", "z"), "position": 1,
        "reasons": ["rule 1 (a) matches: it tests nothing"], "warnings": []}});
    let decided = serde_json::from_value(decided).expect("a reply");
    let listener = Listener::start(vec![reply(decided)]);
    let words = [
        "rules",
        "test",
        "caller=c",
        "model=lock@3",
        "header.X-Run=7",
    ];
    let output = listener.run(&words).expect("decided");
    assert!(output.text.contains("rule 1 decides"), "{}", output.text);
    let Command::Test(call) = &listener.asked()[0] else {
        panic!("another command");
    };
    assert_eq!(call.headers, [("x-run".to_owned(), "7".to_owned())]);
}

#[test]
fn status_wait_returns_when_everywhere() {
    let status = |everywhere| {
        let status = Status {
            everywhere,
            edition: Edition(3),
            ..Status::default()
        };
        reply(Reply::Status(Box::new(status)))
    };
    let listener = Listener::start(vec![status(false), status(true)]);
    let output = listener.run(&["status", "--wait"]).expect("everywhere");
    assert!(output.text.contains("in force everywhere"));
    let listener = Listener::start(vec![status(false)]);
    let error = listener.run(&["status", "--wait", "--patience", "0"]);
    assert_eq!(error.expect_err("not everywhere").code(), 5);
}

#[test]
fn ask_second_server_answers_where_the_first_is_gone() {
    let gone = Listener::start(Vec::new()).address().to_owned();
    let listener = Listener::start(vec![show(4, Vec::new())]);
    let servers = format!("{gone},{}", listener.address());
    let words = ["rules", "list", "--server", &servers];
    let output = run_with(&words, &|_| None).expect("the second answers");
    assert!(output.text.contains("no rules"));
    let error = run_with(&["rules", "list", "--server", &gone], &|_| None);
    assert_eq!(error.expect_err("nobody there").code(), 4);
}

#[test]
fn refusal_of_the_listener_is_told_apart() {
    let code = |answer| {
        let listener = Listener::start(vec![answer]);
        listener
            .run(&["rules", "list"])
            .expect_err("refused")
            .code()
    };
    let refusal = r#"{"error":{"kind":"bad_json","ran":"no","message":"m"}}"#;
    assert_eq!(code(Answer::Text(401, "{}")), 1);
    assert_eq!(code(Answer::Text(400, refusal)), 1);
    assert_eq!(code(Answer::Text(200, "<html>")), 4);
    let bad = Failed::new(Kind::BadConfiguration, "no such zone");
    assert_eq!(code(reply(Reply::Failed(bad))), 2);
}

#[test]
fn command_line_wrong_is_a_usage_error() {
    let file = File::new("name: a\n");
    let wrong: [&[&str]; 5] = [
        &["frobnicate"],
        &["rules", "list"],
        &[
            "rules",
            "insert",
            file.path(),
            "--first",
            "--last",
            "-s",
            "h:1",
        ],
        &["rules", "test", "-s", "h:1", "colour=blue"],
        &["rules", "move", "a b", "--first", "-s", "h:1"],
    ];
    for words in wrong {
        let error = run_with(words, &|_| None).expect_err("wrong");
        assert_eq!(error.code(), 2, "{words:?}: {error}");
    }
}

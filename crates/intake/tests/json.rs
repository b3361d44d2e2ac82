//! What a JSON text weighs.

use dahliastile_intake::{Size, json_weight};

#[test]
fn weight_structure() {
    let nested = "{\"\":0},".repeat(1_000);
    assert!(json_weight(nested.as_bytes()) >= Size(1_000 * 700));
    let numbers = "0,".repeat(1_000);
    assert!(json_weight(numbers.as_bytes()) >= Size(1_000 * 64));
}

#[test]
fn weight_stringsarebytes() {
    let text = format!("\"{}\"", "{[,:\\\"".repeat(1_000));
    assert_eq!(json_weight(text.as_bytes()), Size(text.len()));
}

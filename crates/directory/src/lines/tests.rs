//! Tests of `lines.rs`.

use super::*;

/// Guards against splitting indented lists: each of their lines was taken for a message and failed to decode. Chunk
/// boundaries may fall anywhere.
#[test]
fn indented_object_is_one_message_and_truncated_object_ends_at_blank_line() {
    let object = "{\n  \"rev\": 8,\n  \"x\": \"}]\\\"{\",\n  \"targets\": [\n    {}\n  ]\n}";
    let stream = format!("\n{object}\n\n{{\"rev\":9}}\n{{\"cut\":[\n\n \nno list\n{{\"s\": \"un\n{{}}\n");
    let expected = ["", object, "", "{\"rev\":9}", "{\"cut\":[", "", "no list", "{\"s\": \"un", "{}"];
    for size in 1..stream.len() {
        let mut lines = Lines::default();
        let chunks = stream.as_bytes().chunks(size).map(|chunk| lines.take(chunk).unwrap());
        let received: Vec<String> = chunks.flatten().map(|line| String::from_utf8(line).unwrap()).collect();
        assert_eq!(received, expected, "in chunks of {size}");
    }
}

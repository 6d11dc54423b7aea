//! Parsing of documents and settings.
//!
//! Each invalid text must give all of its problems, each with line, path and
//! advice. The invalid documents are made from a valid example by replacing one
//! piece of its text.

use bitterncart_protocol::{Document, Settings};
use bitterncart_testing::cases;

const SUNHAVEN: &str = include_str!("../../../../examples/sunhaven.jsonc");
const SAVANNAH: &str = include_str!("../../../../examples/savannah.jsonc");

fn format_problems(text: &str) -> String {
    match Document::parse(text) {
        Ok(_) => "valid".to_owned(),
        Err(problems) => problems
            .iter()
            .map(|problem| format!("{problem}\n"))
            .collect(),
    }
}

cases! {
    fn assert_valid(text: &str) {
        assert_eq!(format_problems(text), "valid");
    }
    sunhaven_example_is_valid(SUNHAVEN);
    savannah_example_is_valid(SAVANNAH);
}

cases! {
    fn assert_reported(snapshot: &str, from: &str, to: &str) {
        assert!(SUNHAVEN.contains(from), "the example no longer contains {from}");
        insta::assert_snapshot!(snapshot, format_problems(&SUNHAVEN.replacen(from, to, 1)));
    }
    unknown_field_is_reported("unknown_field", "\"environment\"", "\"enviroment\"");
    wrong_type_is_reported("wrong_type", "\"shards\": 12", "\"shards\": \"twelve\"");
    value_out_of_range_is_reported("out_of_range", "\"batch_weight\": 0.2", "\"batch_weight\": 1.2");
    duplicate_customer_name_is_reported("duplicate_name", "\"name\": \"back-office\"", "\"name\": \"front-desk\"");
    unknown_data_centre_is_reported("dangling_reference", "\"data_centre\": \"coast-b\"", "\"data_centre\": \"coast-x\"");
    ttft_above_deadline_is_reported("impossible_bound", "\"ttft_ms\": 1400", "\"ttft_ms\": 30000");
    reserve_of_all_sequences_is_reported("no_room_for_batch", "\"reserve\": 6", "\"reserve\": 32");
    min_up_equal_to_replica_count_is_reported("nothing_left_to_change", "\"min_up\": 2", "\"min_up\": 3");
    weights_without_weight_store_are_reported("no_weight_store", "\"weight_store\": { \"loads_per_min\": 60 },", "");
    duplicate_field_is_reported("field_stated_twice", "\"itl_ms\": 27", "\"itl_ms\": 27, \"itl_ms\": 28");
    syntax_error_is_reported("broken_syntax", "\"regions\": [", "\"regions\": [[");
    empty_text_is_reported("empty_text", SUNHAVEN, "");
}

#[test]
fn several_problems_are_reported_together() {
    let text = SUNHAVEN
        .replacen("\"name\": \"back-office\"", "\"name\": \"front-desk\"", 1)
        .replacen(
            "\"data_centre\": \"coast-c\"",
            "\"data_centre\": \"nowhere\"",
            1,
        );
    insta::assert_snapshot!(format_problems(&text));
}

#[test]
fn invalid_settings_report_all_problems() {
    let text = r#"{
        "name": "entry-1", // the instance
        "data_centre": "coast-a",
        "callers": "localhost:80",
        "fleet_secret": "short",
        "colour": "blue"
    }"#;
    let problems = Settings::parse(text).expect_err("the settings are invalid");
    let lines: String = problems
        .iter()
        .map(|problem| format!("{problem}\n"))
        .collect();
    insta::assert_snapshot!(lines);
}

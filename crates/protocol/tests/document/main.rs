//! Problems of documents and settings, all at once, with line and path.

use bitterncart_protocol::{Document, Settings};
use bitterncart_testing::cases;

const SUNHAVEN: &str = include_str!("../../../../examples/sunhaven.jsonc");
const SAVANNAH: &str = include_str!("../../../../examples/savannah.jsonc");

fn problems(text: &str) -> String {
    match Document::parse(text) {
        Ok(_) => "valid".to_owned(),
        Err(problems) => problems
            .iter()
            .map(|problem| format!("{problem}\n"))
            .collect(),
    }
}

cases! {
    fn is_valid(text: &str) {
        assert_eq!(problems(text), "valid");
    }
    sunhaven_is_valid(SUNHAVEN);
    savannah_is_valid(SAVANNAH);
}

cases! {
    fn reports(name: &str, from: &str, to: &str) {
        assert!(SUNHAVEN.contains(from), "the example no longer holds {from}");
        insta::assert_snapshot!(name, problems(&SUNHAVEN.replacen(from, to, 1)));
    }
    unknown_field("unknown_field", "\"environment\"", "\"enviroment\"");
    wrong_type("wrong_type", "\"shards\": 12", "\"shards\": \"twelve\"");
    out_of_range("out_of_range", "\"batch_weight\": 0.2", "\"batch_weight\": 1.2");
    duplicate_name("duplicate_name", "\"name\": \"back-office\"", "\"name\": \"front-desk\"");
    dangling_reference("dangling_reference", "\"data_centre\": \"coast-b\"", "\"data_centre\": \"coast-x\"");
    impossible_bound("impossible_bound", "\"ttft_ms\": 1400", "\"ttft_ms\": 30000");
    no_room_for_batch("no_room_for_batch", "\"reserve\": 6", "\"reserve\": 32");
    nothing_left_to_change("nothing_left_to_change", "\"min_up\": 2", "\"min_up\": 3");
    no_weight_store("no_weight_store", "\"weight_store\": { \"loads_per_min\": 60 },", "");
    field_stated_twice("field_stated_twice", "\"itl_ms\": 27", "\"itl_ms\": 27, \"itl_ms\": 28");
    broken_syntax("broken_syntax", "\"regions\": [", "\"regions\": [[");
    empty_text("empty_text", SUNHAVEN, "");
}

#[test]
fn reports_several_problems_at_once() {
    let text = SUNHAVEN
        .replacen("\"name\": \"back-office\"", "\"name\": \"front-desk\"", 1)
        .replacen(
            "\"data_centre\": \"coast-c\"",
            "\"data_centre\": \"nowhere\"",
            1,
        );
    insta::assert_snapshot!(problems(&text));
}

#[test]
fn settings_report_their_problems() {
    let text = r#"{
        "name": "entry-1", // the instance
        "data_centre": "coast-a",
        "callers": "localhost:80",
        "fleet_secret": "short",
        "colour": "blue"
    }"#;
    let problems = Settings::parse(text).expect_err("the settings are wrong");
    let lines: String = problems
        .iter()
        .map(|problem| format!("{problem}\n"))
        .collect();
    insta::assert_snapshot!(lines);
}

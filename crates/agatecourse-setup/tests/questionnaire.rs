//! Integration tests of the questionnaire, from the answers to a validated configuration.

use agatecourse_setup::{Answers, InterviewEnd, generate, interview};
use googletest::prelude::*;

const KAEWKLA: &str = include_str!("../../../examples/kaewkla/answers.ini");
const ASSOCIATION: &str = include_str!("../../../examples/association/answers.ini");

/// Guards against example answers whose configuration is invalid or still needs edits by hand.
#[gtest]
fn example_answers_generate_a_valid_configuration() {
    for (text, zones, engines, services) in [(KAEWKLA, 3, 10, 3), (ASSOCIATION, 4, 10, 4)] {
        let answers = Answers::parse("answers.ini", text).expect("example answers are valid");
        let generated = generate(&answers).expect("example answers fit together");
        let config = &generated.config;
        expect_that!(config.zones.len(), eq(zones));
        expect_that!(config.organisations.len(), eq(5));
        expect_that!(config.targets.len(), eq(engines + services));
        expect_that!(generated.issued_keys.is_empty(), is_true());
        expect_that!(generated.undecided.is_empty(), is_true(), "{:?}", generated.undecided);
        let values =
            generated.text.lines().filter(|line| line.contains(" = ") && !line.starts_with(';'));
        let origins = generated.text.lines().filter(|line| line.starts_with(';'));
        expect_that!(values.count(), eq(origins.count()));
    }
}

/// Guards against invalid or contradictory answers that are accepted, or reported without the expected value.
#[gtest]
fn invalid_answers_are_reported_with_the_expected_value() {
    let table = [
        (
            "late_cost = high",
            "late_cost = severe",
            "expected another of severe, high, moderate, low",
        ),
        ("size = large", "size = huge", "expected large or small"),
        ("repeat = harmful", "repeat = maybe", "expected harmless or harmful"),
        ("count = 3", "count = 60000", "expected a number from 1 to 1000"),
        ("zones = th-central-a", "zone = th-central-a", "unknown key `zone`"),
    ];
    for (from, to, expected) in table {
        let error =
            Answers::parse("answers.ini", &KAEWKLA.replacen(from, to, 1)).unwrap_err().to_string();
        expect_that!(error, contains_substring(expected), "{to}");
    }
    let answers =
        Answers::parse("answers.ini", &KAEWKLA.replacen("tier = crew", "tier = captain", 1));
    let error = generate(&answers.expect("answers are valid alone")).unwrap_err().to_string();
    expect_that!(
        error,
        contains_substring("`captain` is not defined; expected one of branch, crew, grower")
    );
}

/// Guards against answers lost by going back, asking for help, ending the input, or continuing from a saved file.
#[gtest]
fn interview_can_go_back_save_and_continue() {
    let mut output = Vec::new();
    let first = "demo\nwrong\n<\nlocal\n?\na, b\nurgent\n";
    let saved = interview("", &mut first.as_bytes(), &mut output).expect("memory never fails");
    let InterviewEnd::Saved(saved) = saved else { panic!("the input ended early") };
    expect_that!(saved, contains_substring("region = local"));
    expect_that!(
        String::from_utf8_lossy(&output),
        contains_substring("Names separated by commas.")
    );
    let complete = interview(KAEWKLA, &mut "\n".repeat(400).as_bytes(), &mut Vec::new());
    let InterviewEnd::Complete(text) = complete.expect("memory never fails") else {
        panic!("all questions have earlier answers")
    };
    let [again, example] = [&text, KAEWKLA].map(|text| Answers::parse("answers.ini", text));
    expect_that!(again, eq(&example));
}

/// Guards against API keys that appear in the configuration in plain text or are generated twice.
#[gtest]
fn generated_keys_are_unique_and_only_their_hashes_are_written() {
    let lines: Vec<&str> = KAEWKLA.lines().filter(|line| !line.starts_with("key_sha256")).collect();
    let text = lines.join("\n");
    let answers = Answers::parse("answers.ini", &text).expect("keys are optional");
    let [first, second] = [(), ()].map(|()| generate(&answers).expect("keys can be made"));
    expect_that!(first.issued_keys.len(), eq(6));
    expect_that!(first.issued_keys, not(eq(&second.issued_keys)));
    expect_that!(first.text.contains(&first.issued_keys[0].key), is_false());
}

use crate::questions::{QUESTION_GROUPS, Question, QuestionGroup};
use agatecourse_config::ini::Document;
use std::fmt::Write as _;
use std::io::{BufRead, Write};

/// Result of an interview, with the answers as INI text.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum InterviewEnd {
    /// All questions were answered.
    Complete(String),
    /// The user saved the answers given so far, or the input ended.
    Saved(String),
}

/// One prompt of the interview: a question of a section, or the names of a group's sections.
#[derive(Debug, Clone, PartialEq, Eq)]
struct InterviewStep {
    header: String,
    /// `None` asks for the names of the group's sections.
    question: Option<Question>,
    group: &'static QuestionGroup,
}

const HELP: &str =
    "Enter takes the value in brackets; `?` explains, `<` goes back, `!save` saves and ends.";

/// Asks all questions and returns the answers as an INI file.
///
/// `earlier` is the text of a saved answers file, whose answers become the defaults.
///
/// # Errors
///
/// Returns an error when the input can't be read or the output can't be written. The end of the input is no error: it
/// returns [`InterviewEnd::Saved`].
pub fn interview(
    earlier: &str,
    input: &mut impl BufRead,
    output: &mut impl Write,
) -> std::io::Result<InterviewEnd> {
    writeln!(output, "{HELP}")?;
    let earlier = Document::parse("earlier", earlier);
    let mut answers: Vec<(InterviewStep, String)> = Vec::new();
    while let Some(step) = next_step(&answers) {
        let default = default_answer(&earlier, &step);
        write!(output, "{}", format_prompt(&step, &default))?;
        output.flush()?;
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(InterviewEnd::Saved(format_answers(&answers)));
        }
        match line.trim() {
            "!save" => return Ok(InterviewEnd::Saved(format_answers(&answers))),
            "<" => {
                answers.pop();
            }
            "?" => writeln!(output, "  {}", help_text(&step))?,
            "" => answers.push((step, default)),
            answer => answers.push((step, answer.to_string())),
        }
    }
    Ok(InterviewEnd::Complete(format_answers(&answers)))
}

/// Returns the first unanswered step, or `None` after the last one.
///
/// The steps depend on the answers: each name given for a group adds one section of questions.
fn next_step(answers: &[(InterviewStep, String)]) -> Option<InterviewStep> {
    let mut index = 0;
    for group in QUESTION_GROUPS {
        let mut headers = vec![group.section.to_string()];
        if !group.names_text.is_empty() {
            let Some((_, names)) = answers.get(index) else {
                return Some(InterviewStep {
                    header: group.section.to_string(),
                    question: None,
                    group,
                });
            };
            index += 1;
            let names = names.split(',').map(str::trim).filter(|name| !name.is_empty());
            headers = names.map(|name| format!("{}.{name}", group.section)).collect();
        }
        for header in headers {
            for question in group.questions {
                if index >= answers.len() {
                    return Some(InterviewStep { header, question: Some(*question), group });
                }
                index += 1;
            }
        }
    }
    None
}

/// Returns the answer from the saved file or, without one, the default of the question.
fn default_answer(earlier: &Document, step: &InterviewStep) -> String {
    match &step.question {
        None => {
            let sections =
                earlier.sections.iter().filter(|section| section.kind == step.group.section);
            let names: Vec<String> = sections.filter_map(|section| section.name.clone()).collect();
            names.join(", ")
        }
        Some(question) => {
            let section = earlier.sections.iter().find(|section| section.header == step.header);
            let entry = section
                .and_then(|section| section.entries.iter().find(|entry| entry.key == question.key));
            entry.map_or_else(|| question.default.to_string(), |entry| entry.value.clone())
        }
    }
}

fn format_prompt(step: &InterviewStep, default: &str) -> String {
    let text = step.question.map_or(step.group.names_text, |question| question.text);
    format!("[{}] {text} [{default}] ", step.header)
}

fn help_text(step: &InterviewStep) -> &'static str {
    step.question.map_or("Short names separated by commas.", |question| question.help)
}

fn format_answers(answers: &[(InterviewStep, String)]) -> String {
    let mut text = String::new();
    let mut current_header = String::new();
    for (step, answer) in answers {
        let Some(question) = step.question else { continue };
        if current_header != step.header {
            writeln!(text, "[{}]", step.header).expect("writing to a String never fails");
            current_header.clone_from(&step.header);
        }
        if !answer.is_empty() {
            writeln!(text, "{} = {answer}", question.key).expect("writing to a String never fails");
        }
    }
    text
}

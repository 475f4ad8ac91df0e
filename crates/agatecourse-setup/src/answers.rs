use crate::questions::QUESTION_GROUPS;
use agatecourse_config::ini::{Document, Section, SectionReader};
use agatecourse_config::{ConfigFaults, parse_sha256};
use std::net::SocketAddr;

/// Answers about one tier.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TierAnswers {
    /// Name of the tier, unique among the tiers.
    pub name: String,
    /// Cost of a late response: `severe`, `high`, `moderate` or `low`; determines the rank of the tier.
    pub late_cost: String,
    /// Time after which a response is of no use to the caller, from 1 to 86,400 s.
    pub deadline_s: u64,
}

/// Answers about one kind of work, which becomes a route of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkAnswers {
    /// Name of the work and of its route.
    pub name: String,
    /// Kind of the route: `model` or `service`.
    pub kind: String,
    /// Whether running the same request twice is harmless; otherwise it goes through the journal.
    pub is_idempotent: bool,
    /// Typical duration of a service call in milliseconds; not used for models.
    pub typical_ms: u64,
}

/// Answers about one caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallerAnswers {
    /// Name of the caller, unique among the callers.
    pub name: String,
    /// Name of the organisation (customer) that pays for the caller's requests.
    pub organisation: String,
    /// Name of the caller's tier.
    pub tier: String,
    /// Kinds of work that the caller may request; empty allows all.
    pub work: Vec<String>,
    /// SHA-256 of the API key in hexadecimal digits; without it a key is generated.
    pub key_sha256: Option<String>,
}

/// Answers about a group of targets with the same settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TargetGroupAnswers {
    /// Name of the group and prefix of its targets' names.
    pub name: String,
    /// Kinds of work that the targets serve, all models or all services.
    pub work: Vec<String>,
    /// Number of targets, from 1 to 1,000.
    pub count: u16,
    /// Address of the first target; each further target has the next port.
    pub first_address: SocketAddr,
    /// Availability zones, assigned to the targets in turn; empty uses all zones of the deployment.
    pub zones: Vec<String>,
    /// Version that the targets run at present.
    pub version: String,
    /// Number of requests that one target runs concurrently.
    pub concurrency: u32,
    /// Initial estimate of the prompt tokens that one target reads per second.
    pub read_tokens_per_s: u32,
    /// Initial estimate of the tokens that one target writes per second for one request.
    pub write_tokens_per_s: u32,
    /// Name of the provider whose credits pay for the targets, if any.
    pub provider: Option<String>,
    /// Whether the targets refuse orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// All answers of a questionnaire.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Answers {
    /// Name of the deployment in logs and metrics.
    pub name: String,
    /// Region, as the provider names it.
    pub region: String,
    /// Availability zones that the deployment uses.
    pub zones: Vec<String>,
    /// Tiers in the order of the answers file; their cost determines the rank.
    pub tiers: Vec<TierAnswers>,
    /// Organisations (customers): name, whether it is large, and the limit of requests per second.
    pub organisations: Vec<(String, bool, u32)>,
    /// Kinds of work in the order of the answers file.
    pub works: Vec<WorkAnswers>,
    /// Callers in the order of the answers file.
    pub callers: Vec<CallerAnswers>,
    /// Providers: name, credit in tokens, and end of the credits.
    pub providers: Vec<(String, String, String)>,
    /// Groups of targets in the order of the answers file.
    pub target_groups: Vec<TargetGroupAnswers>,
}

impl Answers {
    /// Parses an answers file and validates all of it; `file` is the name that error messages show.
    ///
    /// # Errors
    ///
    /// Returns all validation errors when there is at least one, each with the expected value.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigFaults> {
        let mut document = Document::parse(file, text);
        let mut answers = Self::default();
        for section in document.sections.clone() {
            answers.read_section(&mut document, section);
        }
        for group in QUESTION_GROUPS.iter().filter(|group| !group.may_be_empty) {
            if !document.sections.iter().any(|section| section.kind == group.section) {
                let name = if group.names_text.is_empty() { "" } else { ".<name>" };
                let questions: Vec<&str> =
                    group.questions.iter().map(|question| question.key).collect();
                let message = format!(
                    "section `[{}{name}]` is missing; expected it with {}",
                    group.section,
                    questions.join(", ")
                );
                document.add_fault(0, group.section, message);
            }
        }
        answers.check_contradictions(&mut document);
        document.finish(answers)
    }

    fn read_section(&mut self, document: &mut Document, section: Section) {
        let Some(group) = QUESTION_GROUPS.iter().find(|group| group.section == section.kind) else {
            let known: Vec<&str> = QUESTION_GROUPS.iter().map(|group| group.section).collect();
            let message = format!("unknown section; expected one of {}", known.join(", "));
            document.add_fault(section.line, &section.header, message);
            return;
        };
        let keys: Vec<&str> = group.questions.iter().map(|question| question.key).collect();
        let mut reader = SectionReader::new(document, section);
        match group.section {
            "deployment" => {
                self.name = reader.text("name", "the name of the deployment");
                self.region = reader.text("region", "the name of the region");
                self.zones = reader.list("zones", "the names of zones, separated by commas");
            }
            "tier" => self.tiers.push(read_tier(&mut reader)),
            "organisation" => {
                let name = reader.name();
                let large = read_choice(&mut reader, "size", &["large", "small"]) == "large";
                self.organisations.push((
                    name,
                    large,
                    reader.number("requests_per_s", 50, 1, 1_000_000),
                ));
            }
            "work" => self.works.push(read_work(&mut reader)),
            "caller" => self.callers.push(read_caller(&mut reader)),
            "provider" => {
                let name = reader.name();
                let tokens = reader.text("credit_tokens", "a whole number of tokens");
                self.providers.push((
                    name,
                    tokens,
                    reader.text("ends_at", "a time as in 2027-03-31T00:00:00Z"),
                ));
            }
            _ => self.target_groups.push(read_target_group(&mut reader)),
        }
        reader.finish(&keys.join(", "));
    }

    /// Reports answers that are valid alone but contradict each other in ways that the configuration checker can't detect.
    fn check_contradictions(&self, document: &mut Document) {
        for (index, tier) in self.tiers.iter().enumerate() {
            let same_cost_tier =
                self.tiers[..index].iter().find(|other| other.late_cost == tier.late_cost);
            if let Some(same_cost_tier) = same_cost_tier.filter(|_| !tier.late_cost.is_empty()) {
                let message = format!(
                    "late_cost = {} is also the answer for tier `{}`; expected another of severe, high, moderate, low",
                    tier.late_cost, same_cost_tier.name
                );
                add_named_fault(document, "tier", &tier.name, message);
            }
        }
        for group in &self.target_groups {
            let kinds: Vec<&WorkAnswers> =
                self.works.iter().filter(|work| group.work.contains(&work.name)).collect();
            if kinds.iter().any(|work| work.kind != kinds[0].kind) {
                let message =
                    "work names models and services; expected one kind for a group".to_string();
                add_named_fault(document, "target-group", &group.name, message);
            }
            for zone in group.zones.iter().filter(|zone| !self.zones.contains(zone)) {
                let message = format!(
                    "zone `{zone}` is not in the deployment; expected one of {}",
                    self.zones.join(", ")
                );
                add_named_fault(document, "target-group", &group.name, message);
            }
            let last_port = u32::from(group.first_address.port()) + u32::from(group.count) - 1;
            if last_port > u32::from(u16::MAX) {
                let message =
                    format!("the last target would have port {last_port}; expected 65535 at most");
                add_named_fault(document, "target-group", &group.name, message);
            }
        }
    }
}

/// Adds a validation error at the line of the section `[kind.name]`, or at line 0 when there is no such section.
fn add_named_fault(document: &mut Document, kind: &str, name: &str, message: String) {
    let header = format!("{kind}.{name}");
    let line = document.sections.iter().find(|section| section.header == header);
    let line = line.map_or(0, |section| section.line);
    document.add_fault(line, &header, message);
}

/// Reads a required answer that must be one of the allowed words.
fn read_choice(reader: &mut SectionReader<'_>, key: &str, allowed: &[&str]) -> String {
    let expected = allowed.join(" or ");
    reader.required(key, &expected, |text| allowed.contains(&text).then(|| text.to_string()))
}

fn read_tier(reader: &mut SectionReader<'_>) -> TierAnswers {
    TierAnswers {
        name: reader.name(),
        late_cost: read_choice(reader, "late_cost", &["severe", "high", "moderate", "low"]),
        deadline_s: reader.number("deadline_s", 60, 1, 86_400),
    }
}

fn read_work(reader: &mut SectionReader<'_>) -> WorkAnswers {
    WorkAnswers {
        name: reader.name(),
        kind: read_choice(reader, "kind", &["model", "service"]),
        is_idempotent: read_choice(reader, "repeat", &["harmless", "harmful"]) == "harmless",
        typical_ms: reader.number("typical_ms", 50, 1, 86_400_000),
    }
}

fn read_caller(reader: &mut SectionReader<'_>) -> CallerAnswers {
    CallerAnswers {
        name: reader.name(),
        organisation: reader.text("organisation", "the name of an organisation"),
        tier: reader.text("tier", "the name of a tier"),
        work: reader.optional_list("work"),
        key_sha256: reader
            .optional("key_sha256", "64 hexadecimal digits", |text| {
                if text.is_empty() { Some(None) } else { parse_sha256(text).map(Some) }
            })
            .flatten(),
    }
}

fn read_target_group(reader: &mut SectionReader<'_>) -> TargetGroupAnswers {
    TargetGroupAnswers {
        name: reader.name(),
        work: reader.list("work", "the names of kinds of work, separated by commas"),
        count: reader.number("count", 1, 1, 1_000),
        first_address: reader.address("first_address"),
        zones: reader.optional_list("zones"),
        version: reader.optional_text("version").unwrap_or_else(|| "v1".to_string()),
        concurrency: reader.number("concurrency", 8, 1, 4096),
        read_tokens_per_s: reader.number("read_tokens_per_s", 8_000, 1, 10_000_000),
        write_tokens_per_s: reader.number("write_tokens_per_s", 50, 1, 100_000),
        provider: reader.optional_text("provider"),
        checks_fencing: reader.flag("checks_fencing", false),
    }
}

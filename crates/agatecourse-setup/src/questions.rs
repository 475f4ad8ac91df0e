/// Question of the questionnaire, whose answer is stored under one key of the answers file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Question {
    /// Key in the answers file.
    pub key: &'static str,
    /// Text of the question.
    pub text: &'static str,
    /// Explanation, shown when the user enters `?`.
    pub help: &'static str,
    /// Answer used when the user enters nothing; empty when the question has no default.
    pub default: &'static str,
}

/// Questions that belong to one kind of section and are asked once, or once for each name in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuestionGroup {
    /// Kind of the section in the answers file.
    pub section: &'static str,
    /// Text that asks for the names of the sections; empty when the group has one section without a name.
    pub names_text: &'static str,
    /// Whether the list of names may be empty.
    pub may_be_empty: bool,
    /// Questions in the order in which they are asked.
    pub questions: &'static [Question],
}

const fn question(
    key: &'static str,
    default: &'static str,
    text: &'static str,
    help: &'static str,
) -> Question {
    Question { key, text, help, default }
}

/// All groups of questions in the order in which they are asked.
pub const QUESTION_GROUPS: &[QuestionGroup] = &[
    QuestionGroup {
        section: "deployment",
        names_text: "",
        may_be_empty: false,
        questions: &[
            question(
                "name",
                "",
                "What is the deployment called?",
                "A short name for logs and metrics.",
            ),
            question(
                "region",
                "",
                "In which region does it run?",
                "The provider's name of the region.",
            ),
            question("zones", "", "Which zones does it use?", "Names separated by commas."),
        ],
    },
    QuestionGroup {
        section: "tier",
        names_text: "Which tiers of callers are there?",
        may_be_empty: false,
        questions: &[
            question(
                "late_cost",
                "moderate",
                "What does a late answer cost?",
                "severe, high, moderate or low; a tier with a higher cost goes first. Each tier needs its own.",
            ),
            question(
                "deadline_s",
                "60",
                "After how many seconds is an answer useless?",
                "A whole number.",
            ),
        ],
    },
    QuestionGroup {
        section: "organisation",
        names_text: "Which organisations pay for requests?",
        may_be_empty: false,
        questions: &[
            question(
                "size",
                "small",
                "Is the organisation large or small?",
                "large or small; a large one gets three times the share of a small one when capacity is short.",
            ),
            question(
                "requests_per_s",
                "50",
                "How many requests a second may it send at most?",
                "More are refused with `Retry-After`.",
            ),
        ],
    },
    QuestionGroup {
        section: "work",
        names_text: "Which kinds of work are there?",
        may_be_empty: false,
        questions: &[
            question("kind", "model", "Is it done by a model or a service?", "model or service."),
            question(
                "repeat",
                "",
                "Is it harmless or harmful when the same request runs twice?",
                "harmless or harmful; harmful work such as an order goes through the journal and runs at most once.",
            ),
            question(
                "typical_ms",
                "50",
                "How many milliseconds does a service call take?",
                "Used for services before any call was measured.",
            ),
        ],
    },
    QuestionGroup {
        section: "caller",
        names_text: "Which callers are there?",
        may_be_empty: false,
        questions: &[
            question(
                "organisation",
                "",
                "Which organisation pays for it?",
                "One of the organisations.",
            ),
            question("tier", "", "Which tier does it have?", "One of the tiers."),
            question(
                "work",
                "",
                "Which kinds of work may it ask for?",
                "Names separated by commas; empty means all.",
            ),
            question(
                "key_sha256",
                "",
                "What is the SHA-256 of its API key?",
                "64 hexadecimal digits; when empty, a key is made and shown once.",
            ),
        ],
    },
    QuestionGroup {
        section: "provider",
        names_text: "Which providers pay with credits?",
        may_be_empty: true,
        questions: &[
            question(
                "credit_tokens",
                "",
                "How many tokens do the credits buy?",
                "Tokens read and written.",
            ),
            question(
                "ends_at",
                "",
                "When do the credits end?",
                "A time as in 2027-03-31T00:00:00Z.",
            ),
        ],
    },
    QuestionGroup {
        section: "target-group",
        names_text: "Which groups of like targets are there?",
        may_be_empty: false,
        questions: &[
            question("work", "", "Which kinds of work do they do?", "Names separated by commas."),
            question("count", "1", "How many targets are there?", "A number from 1 to 1,000."),
            question(
                "first_address",
                "",
                "What is the address of the first one?",
                "IP address with port; each further target has the next port.",
            ),
            question(
                "zones",
                "",
                "In which zones do they run?",
                "Names separated by commas; empty means all.",
            ),
            question(
                "version",
                "v1",
                "Which version do they run?",
                "The version that is running now.",
            ),
            question(
                "concurrency",
                "8",
                "How many requests run on one at a time?",
                "The batch size of an engine.",
            ),
            question(
                "read_tokens_per_s",
                "8000",
                "How many prompt tokens does one read a second?",
                "Learned later.",
            ),
            question(
                "write_tokens_per_s",
                "50",
                "How many tokens a second does one write for one request?",
                "Learned later.",
            ),
            question(
                "provider",
                "",
                "Which provider's credits pay for them?",
                "Empty when none does.",
            ),
            question(
                "checks_fencing",
                "no",
                "Do they refuse orders with an old fencing number?",
                "yes or no; with no, a new lease holder waits until the old lease has ended before it gives an order.",
            ),
        ],
    },
];

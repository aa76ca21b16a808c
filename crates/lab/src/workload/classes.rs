//! Kinds of requests and how their prompts are built. docs/MODEL.md says why these shapes.

use topazmount_types::Priority;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Lakeshore: a shopper's full history is read before a loan decision.
    UnderwritingReview,
    /// Lakeshore: an intent tag while the agent types.
    SupportTag,
    /// Lakeshore: a checkout approval that a merchant waits for.
    CheckoutApproval,
    /// Van Damme: an old drawing is matched against the catalogue.
    DrawingMatch,
    /// Van Damme: a stock or order question while a crew waits.
    StockLookup,
}

impl Class {
    /// All classes.
    pub const ALL: [Class; 5] = [
        Class::UnderwritingReview,
        Class::SupportTag,
        Class::CheckoutApproval,
        Class::DrawingMatch,
        Class::StockLookup,
    ];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::UnderwritingReview => "underwriting-review",
            Class::SupportTag => "support-tag",
            Class::CheckoutApproval => "checkout-approval",
            Class::DrawingMatch => "drawing-match",
            Class::StockLookup => "stock-lookup",
        }
    }

    /// Whether somebody waits for a short answer.
    pub fn is_short(self) -> bool {
        self.shape().priority == Priority::Interactive
    }

    /// How its prompts are built.
    pub fn shape(self) -> ClassShape {
        match self {
            Class::UnderwritingReview => ClassShape {
                priority: Priority::Batch,
                common_blocks: 2,
                topics: 6,
                topic_blocks: 4,
                subjects: 400,
                subject_blocks: (6, 30),
                turns: 3,
                turn_blocks: 2,
                tail_tokens: (100, 900),
                answer_tokens: (80, 199),
            },
            Class::SupportTag => ClassShape {
                priority: Priority::Interactive,
                common_blocks: 2,
                topics: 10,
                topic_blocks: 3,
                subjects: 300,
                subject_blocks: (1, 3),
                turns: 6,
                turn_blocks: 1,
                tail_tokens: (50, 500),
                answer_tokens: (4, 8),
            },
            Class::CheckoutApproval => ClassShape {
                priority: Priority::Interactive,
                common_blocks: 2,
                topics: 4,
                topic_blocks: 5,
                subjects: 600,
                subject_blocks: (1, 4),
                turns: 1,
                turn_blocks: 0,
                tail_tokens: (50, 400),
                answer_tokens: (8, 16),
            },
            Class::DrawingMatch => ClassShape {
                priority: Priority::Normal,
                common_blocks: 4,
                topics: 12,
                topic_blocks: 10,
                subjects: 200,
                subject_blocks: (3, 12),
                turns: 4,
                turn_blocks: 1,
                tail_tokens: (100, 900),
                answer_tokens: (60, 150),
            },
            Class::StockLookup => ClassShape {
                priority: Priority::Interactive,
                common_blocks: 4,
                topics: 12,
                topic_blocks: 2,
                subjects: 50,
                subject_blocks: (0, 1),
                turns: 2,
                turn_blocks: 1,
                tail_tokens: (50, 300),
                answer_tokens: (8, 20),
            },
        }
    }
}

/// Sizes of a class's prompts and answers. Ranges include both ends.
#[derive(Clone, Copy, Debug)]
pub struct ClassShape {
    /// Urgency.
    pub priority: Priority,
    /// Blocks that all prompts of a tenant begin with.
    pub common_blocks: u32,
    /// Topics of a tenant.
    pub topics: u32,
    /// Blocks of a topic.
    pub topic_blocks: u32,
    /// Subjects of a tenant; each belongs to one topic.
    pub subjects: u32,
    /// Fewest and most blocks of a subject.
    pub subject_blocks: (u32, u32),
    /// Longest conversation about a subject, in turns.
    pub turns: u32,
    /// Blocks that a turn adds.
    pub turn_blocks: u32,
    /// Tokens after the last whole block, never shared.
    pub tail_tokens: (u32, u32),
    /// Most tokens asked for.
    pub answer_tokens: (u32, u32),
}

/// What share of requests each class has.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Classes with their weights.
    pub classes: Vec<(Class, f64)>,
    /// Share of all arrivals that are calls that may run at most once.
    pub actions: f64,
    /// Service that those calls go to.
    pub service: &'static str,
    /// Operation.
    pub operation: &'static str,
}

impl Mix {
    /// Lakeshore's.
    pub fn lakeshore() -> Self {
        Mix {
            classes: vec![
                (Class::UnderwritingReview, 0.25),
                (Class::SupportTag, 0.45),
                (Class::CheckoutApproval, 0.30),
            ],
            actions: 0.05,
            service: "checkout",
            operation: "schedule",
        }
    }

    /// Van Damme's.
    pub fn van_damme() -> Self {
        Mix {
            classes: vec![(Class::DrawingMatch, 0.45), (Class::StockLookup, 0.55)],
            actions: 0.05,
            service: "yard",
            operation: "order",
        }
    }

    /// The mix of a declared deployment, by its name; Lakeshore's for any other.
    pub fn of_deployment(name: &str) -> Self {
        if name == "van-damme" { Mix::van_damme() } else { Mix::lakeshore() }
    }
}

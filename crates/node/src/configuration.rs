//! The configuration in force on a node.

use std::sync::Arc;
use topazmount_control::ConfigurationUpdate;
use topazmount_routing::{PolicyProgram, ProgramLimits};
use topazmount_settings::{Declarations, Problem, Problems, SourceFiles};
use topazmount_types::Revision;

/// Texts, their revision and what they declare.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Revision; 0 for the seed.
    pub revision: Revision,
    /// Texts.
    pub source: SourceFiles,
    /// Declarations.
    pub declarations: Arc<Declarations>,
}

impl InForce {
    /// The configuration that a process starts from.
    ///
    /// # Errors
    /// Every problem of the texts.
    pub fn seed(source: SourceFiles) -> Result<Self, Problems> {
        let declarations = Arc::new(Declarations::parse(&source)?);
        Ok(InForce { revision: Revision(0), source, declarations })
    }

    /// The configuration that an earlier run of the process kept.
    ///
    /// # Errors
    /// Every problem of the texts.
    pub fn kept(revision: Revision, source: SourceFiles) -> Result<Self, Problems> {
        Ok(InForce { revision, ..InForce::seed(source)? })
    }

    /// The configuration after an update; `None` when there is nothing newer.
    ///
    /// # Errors
    /// Says why the update can't be used; the configuration in force stays.
    pub(crate) fn updated(&self, update: ConfigurationUpdate) -> Result<Option<Self>, String> {
        let (revision, source) = match update {
            ConfigurationUpdate::Current => return Ok(None),
            ConfigurationUpdate::Full { revision, source } => (revision, source),
            ConfigurationUpdate::Deltas { to, deltas, digest } => {
                let mut source = self.source.clone();
                source.apply(&deltas).map_err(|error| error.to_string())?;
                if source.digest() != digest {
                    return Err("the deltas lead to other texts".to_owned());
                }
                (to, source)
            }
        };
        // Nodes only move forward: members may lag behind one another.
        if revision <= self.revision {
            return Ok(None);
        }
        let declarations = Declarations::parse(&source).map_err(|problems| problems.to_string())?;
        Ok(Some(InForce { revision, source, declarations: Arc::new(declarations) }))
    }
}

/// Checks texts as a whole, policy programs included.
///
/// # Errors
/// Every problem.
pub fn check_source(source: &SourceFiles) -> Result<Declarations, Problems> {
    let declarations = Declarations::parse(source)?;
    let mut problems = Vec::new();
    for policy in &declarations.policies {
        if let Err(error) = PolicyProgram::compile(&policy.program, ProgramLimits::default()) {
            problems.push(Problem {
                file: format!("policy \"{}\"", policy.name),
                key: format!("line {}, column {}", error.line, error.column),
                fault: error.message,
                remedy: "see docs/POLICIES.md for what a program may do".to_owned(),
            });
        }
    }
    if problems.is_empty() { Ok(declarations) } else { Err(Problems(problems)) }
}

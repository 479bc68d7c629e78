//! Compares each answer with the output that the endpoints should have produced.

use std::{fmt, sync::Arc};

use peatdeck_core::{document::Document, model::RequestId};
use peatdeck_standin::answer;

use crate::arrivals::Arrival;

/// Most characters of an output that an error contains.
const MAX_SHOWN: usize = 80;

/// Returns the expected output of a request; `None` if it is not known.
type Expected = dyn Fn(&Arrival) -> Option<String> + Send + Sync;

/// Compares answers with their expected outputs.
#[derive(Clone)]
pub struct Verifier {
    expected: Arc<Expected>,
}

impl Verifier {
    /// Accepts every output.
    pub fn disabled() -> Verifier {
        Verifier::new(|_| None)
    }

    /// Compares with the output that `expected` returns.
    pub fn new(expected: impl Fn(&Arrival) -> Option<String> + Send + Sync + 'static) -> Verifier {
        Verifier { expected: Arc::new(expected) }
    }

    /// Compares with the output that stand-ins produce under a configuration.
    pub fn for_standins(document: Arc<Document>) -> Verifier {
        Verifier::new(move |arrival| {
            let pipeline = document.pipeline(&arrival.pipeline)?;
            let request = RequestId { team: arrival.team.clone(), id: arrival.id.clone() };
            answer::expected_output(&document, pipeline, &request, &arrival.input)
        })
    }

    /// Compares the output of an answer.
    ///
    /// # Errors
    /// A description of the difference.
    pub fn compare(&self, arrival: &Arrival, output: &str) -> Result<(), String> {
        match (self.expected)(arrival) {
            Some(expected) if expected != output => {
                Err(format!("expected `{}`, got `{}`", truncate(&expected), truncate(output)))
            }
            _ => Ok(()),
        }
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Verifier")
    }
}

fn truncate(text: &str) -> String {
    text.chars().take(MAX_SHOWN).collect()
}

//! Compares each answer with what the endpoints should have made of the request.

use std::{fmt, sync::Arc};

use peatdeck_core::{document::Document, model::RequestId};
use peatdeck_standin::answer;

use crate::arrivals::Arrival;

/// Longest piece of an output that an error shows, in characters.
const SHOWN: usize = 80;

/// What the answer to a request should be; `None` where that is not known.
type Expected = dyn Fn(&Arrival) -> Option<String> + Send + Sync;

/// Compares answers.
#[derive(Clone)]
pub struct Verifier {
    expected: Arc<Expected>,
}

impl Verifier {
    /// Compares nothing but what the answer itself carries.
    pub fn off() -> Verifier {
        Verifier::new(|_| None)
    }

    /// Compares with what this closure expects.
    pub fn new(expected: impl Fn(&Arrival) -> Option<String> + Send + Sync + 'static) -> Verifier {
        Verifier { expected: Arc::new(expected) }
    }

    /// Compares with what the stand-ins make of a request under a configuration.
    pub fn standins(document: Arc<Document>) -> Verifier {
        Verifier::new(move |arrival| {
            let pipeline = document.pipeline(&arrival.pipeline)?;
            let request = RequestId { team: arrival.team.clone(), id: arrival.id.clone() };
            answer::expected_output(&document, pipeline, &request, &arrival.input)
        })
    }

    /// Compares an answer's output.
    ///
    /// # Errors
    /// The difference, in a sentence.
    pub fn compare(&self, arrival: &Arrival, output: &str) -> Result<(), String> {
        match (self.expected)(arrival) {
            Some(expected) if expected != output => {
                Err(format!("expected `{}`, got `{}`", cut(&expected), cut(output)))
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

fn cut(text: &str) -> String {
    text.chars().take(SHOWN).collect()
}

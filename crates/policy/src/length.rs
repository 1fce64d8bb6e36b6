//! Estimates response lengths from past responses of the same class and team, and corrects the
//! estimate while a response streams.

use std::collections;

use base::name;

/// Maximum divisor of a new sample in the moving mean: the newest response has at least 1/16 of
/// the weight.
const MEAN_SAMPLES: f64 = 16.0;

/// Responses of a team in a class after which only the team's own mean counts; below that, the
/// mean of the class is mixed in.
const FULL_TRUST_SAMPLES: f64 = 8.0;

/// Maximum number of class and team pairs with their own mean. Beyond it all are dropped, and the
/// estimate uses the mean of the class.
const MAX_TEAMS: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, x: f64) {
        self.count += 1.0;
        self.value += (x - self.value) / self.count.min(MEAN_SAMPLES);
    }
}

/// Moving means of response lengths in tokens: overall, by class, and by class and team.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    overall: Mean,
    classes: collections::HashMap<name::Class, Mean>,
    teams: collections::HashMap<(name::Class, name::Team), Mean>,
}

/// Estimated response length before any response was observed, in tokens.
const DEFAULT_TOKENS: f64 = 128.0;

impl LengthEstimator {
    /// Records the length of a complete response, in tokens.
    pub fn observe(&mut self, class: &name::Class, team: &name::Team, tokens: u32) {
        let x = f64::from(tokens);
        self.overall.add(x);
        self.classes.entry(class.clone()).or_default().add(x);
        if self.teams.len() >= MAX_TEAMS {
            self.teams.clear();
        }
        self.teams
            .entry((class.clone(), team.clone()))
            .or_default()
            .add(x);
    }

    /// Estimated total length, in tokens, of a response that already has `received` tokens.
    pub fn estimate(&self, class: &name::Class, team: &name::Team, received: u32) -> f64 {
        let class_mean = match self.classes.get(class) {
            Some(m) => m.value,
            None if self.overall.count > 0.0 => self.overall.value,
            None => DEFAULT_TOKENS,
        };
        let team_mean = self
            .teams
            .get(&(class.clone(), team.clone()))
            .copied()
            .unwrap_or_default();
        let trust = (team_mean.count / FULL_TRUST_SAMPLES).min(1.0);
        let mean = team_mean.value * trust + class_mean * (1.0 - trust);
        // A response longer than the mean is expected to continue for another half of the mean.
        let received = f64::from(received);
        if received < mean {
            mean
        } else {
            received + mean / 2.0
        }
    }
}

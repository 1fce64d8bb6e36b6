//! Expected answer lengths, learnt by class and team and corrected while answers stream.

use std::collections;

use base::name;

/// Weight of the newest answer in the moving mean, as one part in this many.
const SMOOTHING: f64 = 16.0;

/// Answers of a team in a class before its own mean counts alone.
const TRUSTED: f64 = 8.0;

/// Teams remembered; the rest fall back to their class.
const MAX_TEAMS: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, x: f64) {
        self.count += 1.0;
        self.value += (x - self.value) / self.count.min(SMOOTHING);
    }
}

/// Expected lengths in tokens.
#[derive(Debug, Default)]
pub struct LengthEstimator {
    all: Mean,
    classes: collections::HashMap<name::Class, Mean>,
    teams: collections::HashMap<(name::Class, name::Team), Mean>,
}

/// Expected length when nothing was seen yet, in tokens.
const UNSEEN: f64 = 128.0;

impl LengthEstimator {
    /// Learns from a whole answer.
    pub fn observe(&mut self, class: &name::Class, team: &name::Team, tokens: u32) {
        let x = f64::from(tokens);
        self.all.add(x);
        self.classes.entry(class.clone()).or_default().add(x);
        if self.teams.len() >= MAX_TEAMS {
            self.teams.clear();
        }
        self.teams
            .entry((class.clone(), team.clone()))
            .or_default()
            .add(x);
    }

    /// The expected whole length of an answer that has `so_far` tokens already.
    pub fn estimate(&self, class: &name::Class, team: &name::Team, so_far: u32) -> f64 {
        let class_mean = match self.classes.get(class) {
            Some(m) => m.value,
            None if self.all.count > 0.0 => self.all.value,
            None => UNSEEN,
        };
        let own = self
            .teams
            .get(&(class.clone(), team.clone()))
            .copied()
            .unwrap_or_default();
        let trust = (own.count / TRUSTED).min(1.0);
        let mean = own.value * trust + class_mean * (1.0 - trust);
        // An answer past its mean is expected to go on for as long again as half the mean.
        let so_far = f64::from(so_far);
        if so_far < mean {
            mean
        } else {
            so_far + mean / 2.0
        }
    }
}

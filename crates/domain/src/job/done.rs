//! Stored form of the completed tasks of a job.
//!
//! A list of positions takes 40 bytes for each task and exceeds a value of 1 MiB, the largest that the store
//! accepts, from about 26,000 tasks on, which a repeated job reaches after some hours. A long list is stored
//! as blocks: the same tasks of a step in consecutive occurrences. A short list keeps the form that daemons
//! of earlier versions can read.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::TaskPosition;

/// Number of tasks from which blocks are stored.
const BLOCKS_FROM: usize = 5_000;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
struct Block {
    #[serde(rename = "s")]
    step: u16,
    #[serde(rename = "i")]
    first_index: u32,
    #[serde(rename = "n")]
    tasks: u32,
    #[serde(rename = "o")]
    first_occurrence: u32,
    #[serde(rename = "c")]
    occurrences: u32,
}

impl Block {
    fn positions(self) -> impl Iterator<Item = TaskPosition> {
        let occurrences = (self.first_occurrence..).take(self.occurrences as usize);
        occurrences.flat_map(move |occurrence| {
            let indices = (self.first_index..).take(self.tasks as usize);
            indices.map(move |index| TaskPosition {
                occurrence,
                step: self.step,
                index,
            })
        })
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Stored {
    Position(TaskPosition),
    Block(Block),
}

pub(super) fn serialize<S: Serializer>(
    done: &[TaskPosition],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    if done.len() < BLOCKS_FROM {
        return done.serialize(serializer);
    }
    blocks(done).serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<TaskPosition>, D::Error> {
    let stored = Vec::<Stored>::deserialize(deserializer)?;
    let mut done = Vec::new();
    for stored in stored {
        match stored {
            Stored::Position(position) => done.push(position),
            Stored::Block(block) => done.extend(block.positions()),
        }
    }
    Ok(done)
}

/// Joins neighbouring tasks of a step, then equal rows of neighbouring occurrences.
fn blocks(done: &[TaskPosition]) -> Vec<Block> {
    let mut positions = done.to_vec();
    positions.sort_unstable();
    let mut rows: Vec<Block> = Vec::new();
    for position in positions {
        match rows.last_mut() {
            Some(row)
                if row.first_occurrence == position.occurrence
                    && row.step == position.step
                    && row.first_index + row.tasks == position.index =>
            {
                row.tasks += 1;
            }
            _ => rows.push(Block {
                step: position.step,
                first_index: position.index,
                tasks: 1,
                first_occurrence: position.occurrence,
                occurrences: 1,
            }),
        }
    }
    rows.sort_unstable();
    let mut blocks: Vec<Block> = Vec::new();
    for row in rows {
        match blocks.last_mut() {
            Some(block)
                if (block.step, block.first_index, block.tasks)
                    == (row.step, row.first_index, row.tasks)
                    && block.first_occurrence + block.occurrences == row.first_occurrence =>
            {
                block.occurrences += 1;
            }
            _ => blocks.push(row),
        }
    }
    blocks
}

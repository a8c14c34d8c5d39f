use rand::{Rng, RngExt};

/// Moves up to `count` items, drawn at random without repetition, to the front
/// and returns them.
pub(crate) fn draw_candidates<'i, T>(
    items: &'i mut [T],
    count: usize,
    random: &mut impl Rng,
) -> &'i [T] {
    let count = count.min(items.len());
    for position in 0..count {
        let drawn = random.random_range(position..items.len());
        items.swap(position, drawn);
    }
    &items[..count]
}

//! Every input is drawn, alike at every run, and inputs differ.

use std::{cell::RefCell, collections::BTreeSet, panic::AssertUnwindSafe};

use mangostep_testing::seeded;

fn draw_into(drawn: &AssertUnwindSafe<RefCell<Vec<Vec<u16>>>>) {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<Vec<u16>>(500))
        .for_each(|input: &Vec<u16>| {
            drawn.0.borrow_mut().push(input.clone());
        });
}

fn draw() -> Vec<Vec<u16>> {
    let drawn = AssertUnwindSafe(RefCell::new(Vec::new()));
    draw_into(&drawn);
    drawn.0.into_inner()
}

#[test]
fn all_inputs_are_drawn_alike_at_every_run() {
    let first = draw();
    assert_eq!(first.len(), 500);
    assert_eq!(first, draw());
    let lengths: BTreeSet<usize> = first.iter().map(Vec::len).collect();
    println!("{} lengths up to {:?}", lengths.len(), lengths.last());
    assert!(lengths.len() > 20);
}

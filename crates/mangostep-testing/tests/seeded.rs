//! All inputs are generated, are the same at every run, and differ in length.

use std::{cell::RefCell, collections::BTreeSet, panic::AssertUnwindSafe};

use mangostep_testing::seeded;

fn generate_into(inputs: &AssertUnwindSafe<RefCell<Vec<Vec<u16>>>>) {
    bolero::check!()
        .exhaustive()
        .with_generator(seeded::<Vec<u16>>(500))
        .for_each(|input: &Vec<u16>| {
            inputs.0.borrow_mut().push(input.clone());
        });
}

fn generate() -> Vec<Vec<u16>> {
    let inputs = AssertUnwindSafe(RefCell::new(Vec::new()));
    generate_into(&inputs);
    inputs.0.into_inner()
}

#[test]
fn inputs_are_reproducible_and_vary_in_length() {
    let first = generate();
    assert_eq!(first.len(), 500);
    assert_eq!(first, generate());
    let lengths: BTreeSet<usize> = first.iter().map(Vec::len).collect();
    println!("{} lengths up to {:?}", lengths.len(), lengths.last());
    assert!(lengths.len() > 20);
}

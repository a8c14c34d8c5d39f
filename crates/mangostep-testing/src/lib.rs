//! Reproducible inputs for property tests.
//!
//! Bolero's random engine takes its seeds from the operating system, so two
//! runs check different inputs. [`seeded`] derives each input from its index
//! alone; with bolero's exhaustive engine, every run checks the same inputs,
//! and a failure identifies the failing input.
//!
//! # Parts
//!
//! * [`seeded`] and [`seeded_with`] create the generators.
//!
//! # Example
//!
//! ```
//! use mangostep_testing::seeded;
//!
//! bolero::check!()
//!     .exhaustive()
//!     .with_generator(seeded::<Vec<u8>>(100))
//!     .for_each(|bytes: &Vec<u8>| assert!(bytes.len() < 4096));
//! ```

use std::marker::PhantomData;

use {
    bolero::{
        Driver, TypeGenerator, ValueGenerator,
        generator::bolero_generator::driver::{ByteSliceDriver, Options},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Default upper bound on the random bytes that one input is generated from.
const INPUT_BYTES_MAX: usize = 4096;

/// Generator of inputs that depend only on their index, which seeds a random
/// number generator.
#[derive(Clone, Copy, Debug)]
pub struct SeededInputs<T> {
    count: u64,
    bytes_max: usize,
    output: PhantomData<fn() -> T>,
}

/// Generates `count` inputs, each from at most 4,096 random bytes.
pub fn seeded<T: TypeGenerator>(count: u64) -> SeededInputs<T> {
    seeded_with(count, INPUT_BYTES_MAX)
}

/// Generates `count` inputs, each from at most `bytes_max` random bytes.
pub fn seeded_with<T: TypeGenerator>(count: u64, bytes_max: usize) -> SeededInputs<T> {
    SeededInputs {
        count,
        bytes_max,
        output: PhantomData,
    }
}

impl<T: TypeGenerator + 'static> ValueGenerator for SeededInputs<T> {
    type Output = T;

    fn generate<D: Driver>(&self, driver: &mut D) -> Option<T> {
        let index = (0..self.count).generate(driver)?;
        let mut rng = StdRng::seed_from_u64(index);
        // The length varies because short inputs reach other cases than long
        // ones.
        let length = rng.random_range(0..=self.bytes_max);
        let mut bytes = vec![0; length];
        rng.fill(&mut bytes[..]);
        let options = Options::default().with_max_len(self.bytes_max);
        T::generate(&mut ByteSliceDriver::new(&bytes, &options))
    }
}

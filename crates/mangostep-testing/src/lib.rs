//! Inputs that property tests draw alike at every run.
//!
//! Bolero's random engine takes its seeds from the operating system, so that
//! two runs check different inputs. [`seeded`] draws each input from its
//! number alone; together with bolero's exhaustive engine every run checks
//! the same inputs, and a failure names its input.
//!
//! # Parts
//!
//! * [`seeded`] and [`seeded_with`] make the generators.
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

/// Most random bytes that one input is drawn from.
const INPUT_BYTES: usize = 4096;

/// Draws inputs of a type by their numbers.
#[derive(Clone, Copy, Debug)]
pub struct SeededInputs<T> {
    count: u64,
    bytes: usize,
    drawn: PhantomData<fn() -> T>,
}

/// Draws `count` inputs, each from at most 4,096 random bytes.
pub fn seeded<T: TypeGenerator>(count: u64) -> SeededInputs<T> {
    seeded_with(count, INPUT_BYTES)
}

/// Draws `count` inputs, each from at most `bytes` random bytes.
pub fn seeded_with<T: TypeGenerator>(count: u64, bytes: usize) -> SeededInputs<T> {
    SeededInputs {
        count,
        bytes,
        drawn: PhantomData,
    }
}

impl<T: TypeGenerator + 'static> ValueGenerator for SeededInputs<T> {
    type Output = T;

    fn generate<D: Driver>(&self, driver: &mut D) -> Option<T> {
        let number = (0..self.count).generate(driver)?;
        let mut random = StdRng::seed_from_u64(number);
        // Short inputs reach other cases than long ones.
        let length = random.random_range(0..=self.bytes);
        let mut bytes = vec![0; length];
        random.fill(&mut bytes[..]);
        let options = Options::default().with_max_len(self.bytes);
        T::generate(&mut ByteSliceDriver::new(&bytes, &options))
    }
}

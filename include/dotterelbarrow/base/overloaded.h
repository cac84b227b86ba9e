// Combines several lambdas into one visitor for std::visit.
#ifndef DOTTERELBARROW_BASE_OVERLOADED_H_
#define DOTTERELBARROW_BASE_OVERLOADED_H_

namespace dotterelbarrow::base {

template <typename... Lambdas>
struct Overloaded : Lambdas... {
  using Lambdas::operator()...;
};

template <typename... Lambdas>
Overloaded(Lambdas...) -> Overloaded<Lambdas...>;

}  // namespace dotterelbarrow::base

#endif  // DOTTERELBARROW_BASE_OVERLOADED_H_

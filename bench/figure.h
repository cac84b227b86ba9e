// Prints the results of a benchmark, one line for each: "figure NAME VALUE
// UNIT".
#ifndef DOTTERELBARROW_BENCH_FIGURE_H_
#define DOTTERELBARROW_BENCH_FIGURE_H_

#include <algorithm>
#include <cstddef>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

namespace dotterelbarrow::bench {

inline void PrintFigure(const std::string& name, double value,
                        const std::string& unit) {
  std::cout << "figure " << name << ' ' << std::fixed << std::setprecision(3)
            << value << ' ' << unit << std::endl;
}

// Returns the value below which the fraction `fraction`, from 0 to 1, of
// `values` lie. Returns 0 if `values` is empty.
template <typename Number>
double Percentile(std::vector<Number> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

// Returns 0 if `values` is empty.
inline double Mean(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

}  // namespace dotterelbarrow::bench

#endif  // DOTTERELBARROW_BENCH_FIGURE_H_

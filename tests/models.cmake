# Promela models: each test checks one model and its broken variants with spin.
foreach(model ownership at_most_once configuration session)
  add_test(NAME model_${model} COMMAND ${CMAKE_SOURCE_DIR}/models/check.sh ${model})
  # The timeout only ends a search that hangs.
  set_tests_properties(model_${model} PROPERTIES TIMEOUT 600)
endforeach()

# Folder of the scripted scenarios that tests/failover runs.
if(TARGET test_failover)
  target_compile_definitions(test_failover PRIVATE
    ALMONDLEVER_SCENARIO_FOLDER="${CMAKE_CURRENT_SOURCE_DIR}/scenarios")
endif()

# Checks the Promela model and that each broken variant is found; see docs/MODEL.md.
find_program(SPIN_PROGRAM spin)
if(SPIN_PROGRAM AND EXISTS ${CMAKE_SOURCE_DIR}/scripts/model.sh)
  add_test(NAME model COMMAND ${CMAKE_SOURCE_DIR}/scripts/model.sh ${CMAKE_BINARY_DIR})
  # 80 searches, two at a time.
  set_tests_properties(model PROPERTIES TIMEOUT 520 PROCESSORS 2)
endif()
